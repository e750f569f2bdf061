package main

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/valyala/fasthttp"

	"github.com/ochrebay/ochrebay/internal/control"
	"github.com/ochrebay/ochrebay/internal/ledger"
	"github.com/ochrebay/ochrebay/internal/quota"
)

// tenantsReport combines the tenant usage reported by the processes of a fleet.
type tenantsReport struct {
	// Limits are reported by the owners of rate limits, Shares by the leader of control.
	Limits []quota.TenantUsage     `json:"limits"`
	Shares []control.BackendShares `json:"shares"`
	// Unreachable lists the processes that did not answer, with the error of each.
	Unreachable []string `json:"silent,omitempty"`
}

func registerTenants(app *kingpin.Application, registered commands) {
	tenants := app.Command("tenants", "Show which tenants are at their rate limit or above their fair share, and which have waiting or denied requests.\n\n"+
		"Example: ochrebay tenants --ledger.address 10.0.1.1:9464 --ledger.address 10.0.1.2:9464 --control.address 10.0.2.1:9464")
	ledgers := tenants.Flag("ledger.address", "HTTP IP:port of a ledger host; repeat for all of them.").Strings()
	controls := tenants.Flag("control.address", "HTTP IP:port of a control process; repeat for all of them.").Strings()
	output := tenants.Flag("output", "Output format: table or json.").Default("table").Enum("table", "json")
	registered[tenants.FullCommand()] = withoutContext(func() error {
		if len(*ledgers)+len(*controls) == 0 {
			return settingsError{errors.New("ochrebay: at least one --ledger.address or --control.address is required")}
		}
		report := fetchTenants(*ledgers, *controls)
		if *output == "json" {
			return printJSON(report)
		}
		table := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
		printTenants(table, report)
		return table.Flush()
	})
}

// fetchTenants queries each process and lists those that don't answer as unreachable.
func fetchTenants(ledgers, controls []string) tenantsReport {
	var report tenantsReport
	for _, address := range ledgers {
		var view ledger.TenantsView
		if err := fetchView(address, "/v1/tenants", &view); err != nil {
			report.Unreachable = append(report.Unreachable, fmt.Sprintf("%s: %v", address, err))
			continue
		}
		report.Limits = append(report.Limits, view.Tenants...)
	}
	for _, address := range controls {
		var view control.SharesView
		if err := fetchView(address, "/v1/shares", &view); err != nil {
			report.Unreachable = append(report.Unreachable, fmt.Sprintf("%s: %v", address, err))
			continue
		}
		report.Shares = append(report.Shares, view.Backends...)
	}
	slices.SortFunc(report.Limits, func(a, b quota.TenantUsage) int {
		return cmp.Or(cmp.Compare(b.AtLimitMs, a.AtLimitMs), cmp.Compare(b.DeniedNew+b.DeniedInProgress, a.DeniedNew+a.DeniedInProgress), cmp.Compare(a.Tenant, b.Tenant))
	})
	return report
}

func fetchView(address, path string, target any) error {
	body, status, err := httpRequest(fasthttp.MethodGet, "http://"+address+path, nil, operatorTimeout)
	if err != nil {
		return err
	}
	if status != fasthttp.StatusOK {
		return fmt.Errorf("unexpected HTTP status %d", status)
	}
	return json.Unmarshal(body, target)
}

func printTenants(table *tabwriter.Writer, report tenantsReport) {
	printRow(table, "TENANT", "AT LIMIT FOR", "COUNTS", "LIMIT", "UNDER WAY MAY", "WAITING", "PROGRAMS", "REFUSED NEW", "REFUSED UNDER WAY")
	for _, tenant := range report.Limits {
		since := "-"
		if tenant.AtLimitMs > 0 {
			since = (time.Duration(tenant.AtLimitMs) * time.Millisecond).Round(100 * time.Millisecond).String()
		}
		printRow(table, tenant.Tenant, since, tenant.Used, tenant.Allowed, tenant.AllowedInProgress, tenant.Waiting, tenant.Programs, tenant.DeniedNew, tenant.DeniedInProgress)
	}
	for _, backend := range report.Shares {
		printRow(table)
		printRow(table, "BACK END", "ENGINES", "ROOM", "DEMAND", "SHORT")
		printRow(table, backend.Backend, backend.Engines, fmt.Sprintf("%.0f", backend.Capacity), fmt.Sprintf("%.1f", backend.Demand), backend.Oversubscribed)
		printRow(table, "TENANT", "WEIGHT", "IN FLIGHT", "DEMAND", "SHARE", "ABOVE")
		for _, tenant := range backend.Tenants {
			share := "-"
			if backend.Oversubscribed {
				share = fmt.Sprintf("%.1f", tenant.Share)
			}
			printRow(table, tenant.Tenant, fmt.Sprintf("%.3g", tenant.Weight), fmt.Sprintf("%.1f", tenant.InFlight), fmt.Sprintf("%.1f", tenant.Demand), share, tenant.AboveFairShare)
		}
	}
	for _, unreachable := range report.Unreachable {
		printRow(table, "no answer of "+unreachable)
	}
}
