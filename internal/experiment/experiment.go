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

// Base is the name of the variant that others are compared with.
const Base = "base"

// columns is how many a line of a table has.
const columns = 8

// Day is what a play is paired by.
type Day struct {
	Site string
	Name string
	Seed string
}

// Play is one day played with one variant.
type Play struct {
	Variant string
	Day     Day
	// Score and Worth are the day's, TokensRead the thousands of prompt tokens that
	// engines read.
	Score      float64
	Worth      float64
	TokensRead float64
	// Broken names the rules that were broken, "-" for none.
	Broken string
}

// Read reads a table: one play a line, columns split by tabs.
func Read(reader io.Reader) ([]Play, error) {
	var plays []Play
	scanner := bufio.NewScanner(reader)
	for line := 1; scanner.Scan(); line++ {
		fields := strings.Split(scanner.Text(), "\t")
		if len(fields) != columns {
			return nil, errorx.IllegalFormat.New("line %d has %d columns, not %d", line, len(fields), columns)
		}
		play := Play{Variant: fields[0], Day: Day{fields[1], fields[2], fields[3]}, Broken: fields[7]}
		for position, value := range []*float64{&play.Score, &play.Worth, &play.TokensRead} {
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
	Worth         float64
	WorthInterval float64
	Score         float64
	// TokensRead is the mean ratio of tokens read to the base's.
	TokensRead float64
	// Broken counts the plays with a broken rule.
	Broken int
}

// Compare pairs the plays of each variant with the base's, site by site.
func Compare(plays []Play) []Difference {
	base := map[Day]Play{}
	for _, play := range plays {
		if play.Variant == Base {
			base[play.Day] = play
		}
	}
	type row struct{ variant, site string }
	paired := map[row][]Play{}
	for _, play := range plays {
		if _, known := base[play.Day]; known && play.Variant != Base {
			key := row{play.Variant, play.Day.Site}
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

func difference(variant, site string, plays []Play, base map[Day]Play) Difference {
	var worth, score, read []float64
	result := Difference{Variant: variant, Site: site, Pairs: len(plays), WorthInterval: math.Inf(1)}
	for _, play := range plays {
		other := base[play.Day]
		worth = append(worth, play.Worth-other.Worth)
		score = append(score, play.Score-other.Score)
		if other.TokensRead > 0 {
			read = append(read, play.TokensRead/other.TokensRead)
		}
		if play.Broken != "-" {
			result.Broken++
		}
	}
	result.Worth = stat.Mean(worth, nil)
	result.Score = stat.Mean(score, nil)
	result.TokensRead = stat.Mean(read, nil)
	if len(worth) > 1 {
		student := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(worth) - 1)}
		result.WorthInterval = student.Quantile(0.975) * stat.StdErr(stat.StdDev(worth, nil), float64(len(worth)))
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
			row.Site, row.Variant, row.Pairs, row.Worth, row.WorthInterval, row.Score, row.TokensRead, row.Broken)
		if err != nil {
			return err
		}
	}
	return nil
}
