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

// tenantsAnswer is what the processes of a fleet say of tenants.
type tenantsAnswer struct {
	// Limits are by the owners of limits, Shares by the leader of control.
	Limits []quota.TenantUsage     `json:"limits"`
	Shares []control.BackendShares `json:"shares"`
	// Silent are the processes that did not answer.
	Silent []string `json:"silent,omitempty"`
}

func registerTenants(app *kingpin.Application, registered commands) {
	tenants := app.Command("tenants", "Show which tenants are at their limit or above their share, who waits and who is refused.\n\n"+
		"Example: ochrebay tenants --ledger.address 10.0.1.1:9464 --ledger.address 10.0.1.2:9464 --control.address 10.0.2.1:9464")
	ledgers := tenants.Flag("ledger.address", "HTTP IP:port of a ledger host; name all of them.").Strings()
	controls := tenants.Flag("control.address", "HTTP IP:port of a control process; name all of them.").Strings()
	output := tenants.Flag("output", "table or json.").Default("table").Enum("table", "json")
	registered[tenants.FullCommand()] = withoutContext(func() error {
		if len(*ledgers)+len(*controls) == 0 {
			return settingsError{errors.New("ochrebay: --ledger.address and --control.address say whom to ask")}
		}
		answer := askTenants(*ledgers, *controls)
		if *output == "json" {
			return printJSON(answer)
		}
		table := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
		printTenants(table, answer)
		return table.Flush()
	})
}

// askTenants asks each process; those that don't answer are named.
func askTenants(ledgers, controls []string) tenantsAnswer {
	var answer tenantsAnswer
	for _, address := range ledgers {
		var view ledger.TenantsView
		if err := fetchView(address, "/v1/tenants", &view); err != nil {
			answer.Silent = append(answer.Silent, fmt.Sprintf("%s: %v", address, err))
			continue
		}
		answer.Limits = append(answer.Limits, view.Tenants...)
	}
	for _, address := range controls {
		var view control.SharesView
		if err := fetchView(address, "/v1/shares", &view); err != nil {
			answer.Silent = append(answer.Silent, fmt.Sprintf("%s: %v", address, err))
			continue
		}
		answer.Shares = append(answer.Shares, view.Backends...)
	}
	slices.SortFunc(answer.Limits, func(a, b quota.TenantUsage) int {
		return cmp.Or(cmp.Compare(b.AtLimitMs, a.AtLimitMs), cmp.Compare(b.DeniedNew+b.DeniedInProgress, a.DeniedNew+a.DeniedInProgress), cmp.Compare(a.Tenant, b.Tenant))
	})
	return answer
}

func fetchView(address, path string, into any) error {
	body, status, err := request(fasthttp.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return err
	}
	if status != fasthttp.StatusOK {
		return fmt.Errorf("status %d", status)
	}
	return json.Unmarshal(body, into)
}

func printTenants(table *tabwriter.Writer, answer tenantsAnswer) {
	row(table, "TENANT", "AT LIMIT FOR", "COUNTS", "LIMIT", "UNDER WAY MAY", "WAITING", "PROGRAMS", "REFUSED NEW", "REFUSED UNDER WAY")
	for _, tenant := range answer.Limits {
		since := "-"
		if tenant.AtLimitMs > 0 {
			since = (time.Duration(tenant.AtLimitMs) * time.Millisecond).Round(100 * time.Millisecond).String()
		}
		row(table, tenant.Tenant, since, tenant.Used, tenant.Allowed, tenant.AllowedInProgress, tenant.Waiting, tenant.Programs, tenant.DeniedNew, tenant.DeniedInProgress)
	}
	for _, backend := range answer.Shares {
		row(table)
		row(table, "BACK END", "ENGINES", "ROOM", "DEMAND", "SHORT")
		row(table, backend.Backend, backend.Engines, fmt.Sprintf("%.0f", backend.Capacity), fmt.Sprintf("%.1f", backend.Demand), backend.Oversubscribed)
		row(table, "TENANT", "WEIGHT", "IN FLIGHT", "DEMAND", "SHARE", "ABOVE")
		for _, tenant := range backend.Tenants {
			share := "-"
			if backend.Oversubscribed {
				share = fmt.Sprintf("%.1f", tenant.Share)
			}
			row(table, tenant.Tenant, fmt.Sprintf("%.3g", tenant.Weight), fmt.Sprintf("%.1f", tenant.InFlight), fmt.Sprintf("%.1f", tenant.Demand), share, tenant.AboveFairShare)
		}
	}
	for _, silent := range answer.Silent {
		row(table, "no answer of "+silent)
	}
}
