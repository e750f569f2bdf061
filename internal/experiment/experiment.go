// Package experiment compares variants of a policy that were played on the same days with
// the same seeds: the mean difference to the base and how sure it is.
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

// Baseline is the name of the variant that others are compared with.
const Baseline = "base"

// columns is how many a line of a table has.
const columns = 8

// Scenario is what a play is paired by.
type Scenario struct {
	Site string
	Name string
	Seed string
}

// Run is one day played with one variant.
type Run struct {
	Variant  string
	Scenario Scenario
	// Score and Worth are the day's, TokensRead the thousands of prompt tokens that
	// engines read.
	Score             float64
	Worth             float64
	PrefillKilotokens float64
	// ViolatedRules names the rules that were broken, "-" for none.
	ViolatedRules string
}

// ReadRuns reads a table: one play a line, columns split by tabs.
func ReadRuns(reader io.Reader) ([]Run, error) {
	var plays []Run
	scanner := bufio.NewScanner(reader)
	for line := 1; scanner.Scan(); line++ {
		fields := strings.Split(scanner.Text(), "\t")
		if len(fields) != columns {
			return nil, errorx.IllegalFormat.New("line %d has %d columns, not %d", line, len(fields), columns)
		}
		play := Run{Variant: fields[0], Scenario: Scenario{fields[1], fields[2], fields[3]}, ViolatedRules: fields[7]}
		for position, value := range []*float64{&play.Score, &play.Worth, &play.PrefillKilotokens} {
			parsed, err := strconv.ParseFloat(fields[4+position], 64)
			if err != nil {
				return nil, errorx.IllegalFormat.New("line %d, column %d: %q is no number", line, 5+position, fields[4+position])
			}
			*value = parsed
		}
		plays = append(plays, play)
	}
	return plays, scanner.Err()
}

// Difference is what a variant does on a site, as a mean over pairs of plays.
type Difference struct {
	Variant string
	Site    string
	Pairs   int
	// Worth and Score are mean differences to the base, and WorthInterval half the
	// width of the 95% interval of the first, infinite for a single pair.
	Worth                    float64
	WorthConfidenceHalfWidth float64
	Score                    float64
	// PrefillTokenRatio is the mean ratio of tokens read to the base's.
	PrefillTokenRatio float64
	// RunsWithViolations counts the plays with a broken rule.
	RunsWithViolations int
}

// Compare pairs the plays of each variant with the base's, site by site.
func Compare(plays []Run) []Difference {
	base := map[Scenario]Run{}
	for _, play := range plays {
		if play.Variant == Baseline {
			base[play.Scenario] = play
		}
	}
	type row struct{ variant, site string }
	paired := map[row][]Run{}
	for _, play := range plays {
		if _, known := base[play.Scenario]; known && play.Variant != Baseline {
			key := row{play.Variant, play.Scenario.Site}
			paired[key] = append(paired[key], play)
		}
	}
	var differences []Difference
	for key, variant := range paired {
		differences = append(differences, difference(key.variant, key.site, variant, base))
	}
	slices.SortFunc(differences, func(a, b Difference) int {
		return cmp.Or(cmp.Compare(a.Site, b.Site), cmp.Compare(a.Worth, b.Worth), cmp.Compare(a.Variant, b.Variant))
	})
	return differences
}

func difference(variant, site string, plays []Run, base map[Scenario]Run) Difference {
	var worth, score, read []float64
	result := Difference{Variant: variant, Site: site, Pairs: len(plays), WorthConfidenceHalfWidth: math.Inf(1)}
	for _, play := range plays {
		other := base[play.Scenario]
		worth = append(worth, play.Worth-other.Worth)
		score = append(score, play.Score-other.Score)
		if other.PrefillKilotokens > 0 {
			read = append(read, play.PrefillKilotokens/other.PrefillKilotokens)
		}
		if play.ViolatedRules != "-" {
			result.RunsWithViolations++
		}
	}
	result.Worth = stat.Mean(worth, nil)
	result.Score = stat.Mean(score, nil)
	result.PrefillTokenRatio = stat.Mean(read, nil)
	if len(worth) > 1 {
		student := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(worth) - 1)}
		result.WorthConfidenceHalfWidth = student.Quantile(0.975) * stat.StdErr(stat.StdDev(worth, nil), float64(len(worth)))
	}
	return result
}

// WriteTable writes differences as a table in Markdown.
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
