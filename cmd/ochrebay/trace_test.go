package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestTrace(t *testing.T) {
	Convey("the log lines of a request are merged in order of time, followed by how it ended", t, func() {
		folder := t.TempDir()
		gateway := filepath.Join(folder, "gateway.log")
		ledger := filepath.Join(folder, "ledger.log")
		So(os.WriteFile(gateway, []byte(
			"noise\n  1.2 front-1 level=warn ts=2026-01-01T00:00:03Z component=gateway process=g msg=failed request=r1 took=30ms outcome=unknown err=\"outcome_unknown (1304): cut\"\n"+
				"level=info ts=2026-01-01T00:00:09Z component=gateway process=g msg=served request=r2 status=200 engine=e took=5ms\n"), 0o600), ShouldBeNil)
		So(os.WriteFile(ledger, []byte("level=info ts=2026-01-01T00:00:01Z component=ledger process=l msg=\"turn opened\" group=3 request=r1\n"), 0o600), ShouldBeNil)
		lines, err := readLines([]string{gateway, ledger}, "request", "r1")
		So(err, ShouldBeNil)
		var output bytes.Buffer
		So(printTrace(&output, "r1", lines), ShouldBeNil)
		So(output.String(), ShouldEqual, "2026-01-01T00:00:01Z l \"turn opened\" group=3 request=r1\n"+
			"2026-01-01T00:00:03Z g \"failed\" request=r1 took=30ms outcome=unknown err=\"outcome_unknown (1304): cut\"\n"+
			"ended: outcome_unknown (1304): cut (unknown) after 30ms\n")
		So(printTrace(&output, "r3", nil), ShouldNotBeNil)
	})
}
