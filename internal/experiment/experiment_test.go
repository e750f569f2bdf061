package experiment

import (
	"math"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

const table = "base\ts\tscale-1\t-\t0.80\t0.900\t1000\t-\n" +
	"base\ts\tscale-2\t-\t0.70\t0.800\t1000\t-\n" +
	"home\ts\tscale-1\t-\t0.10\t0.500\t2000\t-\n" +
	"home\ts\tscale-2\t-\t0.20\t0.600\t3000\tBROKEN: LOST 1\n" +
	"rank\ts\tscale-1\t-\t0.80\t0.910\t1000\t-\n" +
	"rank\ts\tscale-9\t-\t0.80\t0.910\t1000\t-\n"

func TestCompare(t *testing.T) {
	Convey("variants are compared with the baseline over paired runs", t, func() {
		runs, err := ReadRuns(strings.NewReader(table))
		So(err, ShouldBeNil)
		differences := Compare(runs)
		So(differences, ShouldHaveLength, 2)
		home, rank := differences[0], differences[1]
		So(home.Variant, ShouldEqual, "home")
		So(home.Pairs, ShouldEqual, 2)
		So(home.Worth, ShouldAlmostEqual, -0.3, 1e-9)
		So(home.Score, ShouldAlmostEqual, -0.6, 1e-9)
		So(home.PrefillTokenRatio, ShouldAlmostEqual, 2.5, 1e-9)
		So(home.RunsWithViolations, ShouldEqual, 1)
		// Two differences of -0.4 and -0.2: t(0.975, 1) = 12.706, standard error 0.1.
		So(home.WorthConfidenceHalfWidth, ShouldAlmostEqual, 1.2706, 1e-3)
		So(rank.Pairs, ShouldEqual, 1)
		So(math.IsInf(rank.WorthConfidenceHalfWidth, 1), ShouldBeTrue)
		var written strings.Builder
		So(WriteTable(&written, differences), ShouldBeNil)
		So(written.String(), ShouldContainSubstring, "| s | home | 2 | -0.300 | ±1.271 | -0.600 | x2.50 | 1 |")
	})
	Convey("the error for an invalid table names the line or the invalid value", t, func() {
		_, err := ReadRuns(strings.NewReader(table + "a\tb\n"))
		So(err.Error(), ShouldContainSubstring, "line 7")
		_, err = ReadRuns(strings.NewReader(strings.Replace(table, "0.900", "much", 1)))
		So(err.Error(), ShouldContainSubstring, `"much"`)
	})
}
