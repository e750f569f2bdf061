// Package experiment compares policy variants that were run on the same scenarios with the
// same seeds. It computes the mean paired difference from the baseline and its confidence
// interval.
package experiment

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"math"
	"slices"
	"strconv"
	"strings"

	"github.com/joomcode/errorx"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Baseline is the name of the variant that the others are compared with.
const Baseline = "base"

// columnCount is the number of columns in each line of a table.
const columnCount = 8

// Scenario identifies the conditions of a run: the site, the scenario of that site and the
// random seed, "-" for the scenario's own seed. A variant's run is compared with the
// baseline run of the same scenario.
type Scenario struct {
	Site string
	Name string
	Seed string
}

// Run is the result of running one scenario with one variant.
type Run struct {
	// Variant is Baseline or the names of the disabled policy mechanisms, joined by "+".
	Variant  string
	Scenario Scenario
	// Score and Worth are the result metrics of the run, and
	// PrefillKilotokens is the number of prompt tokens that engines prefilled, in
	// thousands.
	Score             float64
	Worth             float64
	PrefillKilotokens float64
	// ViolatedRules names the rules that the run violated, "-" for none.
	ViolatedRules string
}

// ReadRuns reads a table with one run per line and tab-separated columns.
func ReadRuns(reader io.Reader) ([]Run, error) {
	var runs []Run
	scanner := bufio.NewScanner(reader)
	for line := 1; scanner.Scan(); line++ {
		fields := strings.Split(scanner.Text(), "\t")
		if len(fields) != columnCount {
			return nil, errorx.IllegalFormat.New("line %d has %d columns, want %d", line, len(fields), columnCount)
		}
		run := Run{Variant: fields[0], Scenario: Scenario{fields[1], fields[2], fields[3]}, ViolatedRules: fields[7]}
		for position, value := range []*float64{&run.Score, &run.Worth, &run.PrefillKilotokens} {
			parsed, err := strconv.ParseFloat(fields[4+position], 64)
			if err != nil {
				return nil, errorx.IllegalFormat.New("line %d, column %d: %q is not a number", line, 5+position, fields[4+position])
			}
			*value = parsed
		}
		runs = append(runs, run)
	}
	return runs, scanner.Err()
}

// Difference is the mean difference of a variant from the baseline over the paired runs
// at a site.
type Difference struct {
	Variant string
	Site    string
	Pairs   int
	// Worth and Score are the mean differences from the baseline. WorthConfidenceHalfWidth
	// is half the width of the 95% confidence interval of Worth; it is infinite for a
	// single pair.
	Worth                    float64
	WorthConfidenceHalfWidth float64
	Score                    float64
	// PrefillTokenRatio is the mean ratio of prefilled tokens to those of the baseline.
	PrefillTokenRatio float64
	// RunsWithViolations counts the runs that violated a rule.
	RunsWithViolations int
}

// Compare pairs the runs of each variant with the baseline runs and returns the
// differences per variant and site. Runs without a baseline run are ignored.
func Compare(runs []Run) []Difference {
	baseline := map[Scenario]Run{}
	for _, run := range runs {
		if run.Variant == Baseline {
			baseline[run.Scenario] = run
		}
	}
	type groupKey struct{ variant, site string }
	pairedRuns := map[groupKey][]Run{}
	for _, run := range runs {
		if _, hasBaseline := baseline[run.Scenario]; hasBaseline && run.Variant != Baseline {
			key := groupKey{run.Variant, run.Scenario.Site}
			pairedRuns[key] = append(pairedRuns[key], run)
		}
	}
	var differences []Difference
	for key, variantRuns := range pairedRuns {
		differences = append(differences, newDifference(key.variant, key.site, variantRuns, baseline))
	}
	slices.SortFunc(differences, func(a, b Difference) int {
		return cmp.Or(cmp.Compare(a.Site, b.Site), cmp.Compare(a.Worth, b.Worth), cmp.Compare(a.Variant, b.Variant))
	})
	return differences
}

func newDifference(variant, site string, runs []Run, baseline map[Scenario]Run) Difference {
	var worthDifferences, scoreDifferences, prefillRatios []float64
	result := Difference{Variant: variant, Site: site, Pairs: len(runs), WorthConfidenceHalfWidth: math.Inf(1)}
	for _, run := range runs {
		baselineRun := baseline[run.Scenario]
		worthDifferences = append(worthDifferences, run.Worth-baselineRun.Worth)
		scoreDifferences = append(scoreDifferences, run.Score-baselineRun.Score)
		if baselineRun.PrefillKilotokens > 0 {
			prefillRatios = append(prefillRatios, run.PrefillKilotokens/baselineRun.PrefillKilotokens)
		}
		if run.ViolatedRules != "-" {
			result.RunsWithViolations++
		}
	}
	result.Worth = stat.Mean(worthDifferences, nil)
	result.Score = stat.Mean(scoreDifferences, nil)
	result.PrefillTokenRatio = stat.Mean(prefillRatios, nil)
	if len(worthDifferences) > 1 {
		student := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(worthDifferences) - 1)}
		result.WorthConfidenceHalfWidth = student.Quantile(0.975) * stat.StdErr(stat.StdDev(worthDifferences, nil), float64(len(worthDifferences)))
	}
	return result
}

// WriteTable writes differences as a Markdown table.
func WriteTable(writer io.Writer, differences []Difference) error {
	if _, err := fmt.Fprint(writer, "| site | without | pairs | worth | 95% | score | tokens read | rules broken |\n|---|---|---|---|---|---|---|---|\n"); err != nil {
		return err
	}
	for _, row := range differences {
		_, err := fmt.Fprintf(writer, "| %s | %s | %d | %+.3f | ±%.3f | %+.3f | x%.2f | %d |\n",
			row.Site, row.Variant, row.Pairs, row.Worth, row.WorthConfidenceHalfWidth, row.Score, row.PrefillTokenRatio, row.RunsWithViolations)
		if err != nil {
			return err
		}
	}
	return nil
}
