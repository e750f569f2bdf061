package result

import (
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/joomcode/errorx"
	. "github.com/smartystreets/goconvey/convey"
)

var documentRow = regexp.MustCompile("(?m)^\\| (\\d{4}) \\| `([a-z_]+)` \\| (\\w+) \\| (\\d{3}) \\| (\\d+) \\| (.+) \\|$")

func TestTableMatchesDocument(t *testing.T) {
	Convey("docs/RESULT-CODES.md has exactly the rows of the table, in order", t, func() {
		text, err := os.ReadFile("../../docs/RESULT-CODES.md")
		So(err, ShouldBeNil)
		rows := documentRow.FindAllString(string(text), -1)
		So(len(rows), ShouldEqual, len(Table))
		for index, entry := range Table {
			So(rows[index], ShouldEqual, documentLine(entry))
		}
	})
}

func documentLine(entry Entry) string {
	return fmt.Sprintf("| %d | `%s` | %s | %d | %d | %s |", int(entry.Code), entry.Name,
		entry.Outcome, entry.HTTPStatus, entry.RetryAfter.Milliseconds(), entry.Meaning)
}

func TestTable(t *testing.T) {
	Convey("codes ascend, names are unique, and each states an outcome", t, func() {
		names := map[string]bool{}
		previous := Code(0)
		for _, entry := range Table {
			So(entry.Code, ShouldBeGreaterThan, previous)
			So(names[entry.Name], ShouldBeFalse)
			So(strings.Contains("not_run ran unknown", string(entry.Outcome)), ShouldBeTrue)
			names[entry.Name] = true
			previous = entry.Code
		}
	})
	Convey("the code is found in decorated and wrapped errors, and is Internal for other errors", t, func() {
		decorated := errorx.Decorate(New(BudgetExhausted, "left 3"), "starting a turn")
		So(CodeOf(decorated), ShouldEqual, BudgetExhausted)
		So(CodeOf(fmt.Errorf("wrapped: %w", New(TurnOpen, "x"))), ShouldEqual, TurnOpen)
		So(CodeOf(fmt.Errorf("plain")), ShouldEqual, Internal)
	})
}
