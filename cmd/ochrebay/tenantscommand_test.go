package main

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"text/tabwriter"

	. "github.com/smartystreets/goconvey/convey"
)

func TestTenantsCommand(t *testing.T) {
	ledgerHost := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/tenants" {
			_, _ = w.Write([]byte(`{"process":"l","tenants":[{"tenant":"calm"},{"tenant":"hot","used":55,"allowed":50,"most":60,"waiting":3,"denied_new":7,"at_limit_ms":2500}]}`))
		}
	}))
	defer ledgerHost.Close()
	controlProcess := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"leads":true,"backends":[{"backend":"m","engines":4,"room":28,"demand":40,"short":true,"tenants":[{"tenant":"hot","weight":10,"demand":30,"share":18,"above":true}]}]}`))
	}))
	defer controlProcess.Close()
	Convey("tenants at their limit come first, shares follow, and unreachable processes are named", t, func() {
		address := func(server *httptest.Server) string { return strings.TrimPrefix(server.URL, "http://") }
		report := fetchTenants([]string{address(ledgerHost), "127.0.0.1:1"}, []string{address(controlProcess)})
		var out strings.Builder
		table := tabwriter.NewWriter(&out, 0, 4, 2, ' ', 0)
		printTenants(table, report)
		So(table.Flush(), ShouldBeNil)
		lines := strings.Split(out.String(), "\n")
		So(lines[1], ShouldStartWith, "hot")
		So(lines[1], ShouldContainSubstring, "2.5s")
		So(lines[2], ShouldStartWith, "calm")
		So(out.String(), ShouldContainSubstring, "18.0")
		So(out.String(), ShouldContainSubstring, "no answer of 127.0.0.1:1")
	})
}
