package gateway

import (
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ochrebay/ochrebay/internal/admission"
	"github.com/ochrebay/ochrebay/internal/clock"
	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/quota"
	"github.com/ochrebay/ochrebay/internal/scheduling"
)

// newOversubscribedFixture returns a gateway whose only engine is oversubscribed. The tenant with
// the name in above uses more than its fair share, the one with the name in below uses less.
func newOversubscribedFixture(t *testing.T, above, below string) *tenantFixture {
	fixture := newTenantFixture(t, func(w http.ResponseWriter, r *http.Request) {
		// Usage has millisecond resolution, so a shorter request may not be counted.
		time.Sleep(5 * time.Millisecond)
		streamingEngine(1, "", false)(w, r)
	})
	fixture.ledger.setResponse(func(request *protocol.TurnRequest) *protocol.TurnReply {
		if request.Quota != nil {
			return &protocol.TurnReply{Grant: &quota.Grant{}}
		}
		return &protocol.TurnReply{IsFirstTurn: request.Reserve != nil}
	})
	view := *fixture.gateway.view.Load()
	table := *view.routes.Table
	table.Generation++
	for position := range table.Backends {
		table.Backends[position].Slots = 8
	}
	fixture.gateway.applyUpdate(view.fleet, &table)
	engines := fixture.gateway.engines
	engines.fairSharesEnabled = true
	engines.healthOf("e").ApplySharedLoad(scheduling.EngineLoad{Engine: "e", InFlight: 60}, clock.NowMs())
	engines.applySharedTenantUsage([]admission.BackendUsage{{Backend: "b", InFlight: 60, Demand: 60, Tenants: []admission.TenantUsage{
		{Tenant: above, Weight: 2, InFlight: 59}, {Tenant: below, Weight: 2, InFlight: 1},
	}}}, clock.NowMs())
	return fixture
}

func TestSharesOfAGateway(t *testing.T) {
	Convey("a new program of a tenant above its fair share is rejected without a run, with Retry-After", t, func() {
		fixture := newOversubscribedFixture(t, "beta", "alpha")
		response, body, err := fixture.send("/stream/", "r1", append(budgetHeaders, "Ochrebay-Key", otherKey)...)
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, 429)
		So(response.Header.Get("Retry-After"), ShouldNotBeBlank)
		So(body, ShouldContainSubstring, "share_used")
		So(fixture.runs.Load(), ShouldEqual, 0)
	})
	Convey("a new program of a tenant within its fair share is admitted, and so is a program in progress", t, func() {
		fixture := newOversubscribedFixture(t, "alpha", "beta")
		response, _, err := fixture.send("/stream/", "r1", append(budgetHeaders, "Ochrebay-Key", otherKey)...)
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, 200)
		fixture = newOversubscribedFixture(t, "beta", "alpha")
		response, _, err = fixture.send("/kept/", "r2", append(budgetHeaders, "Ochrebay-Key", otherKey, "Ochrebay-Previous-Turn", "t1")...)
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, 200)
	})
	Convey("disabled fair shares reject no program", t, func() {
		fixture := newOversubscribedFixture(t, "beta", "alpha")
		fixture.gateway.engines.fairSharesEnabled = false
		response, _, err := fixture.send("/stream/", "r1", append(budgetHeaders, "Ochrebay-Key", otherKey)...)
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, 200)
	})
	Convey("a gateway breaks its reported usage down by tenant only for a backend close to its capacity", t, func() {
		fixture := newOversubscribedFixture(t, "beta", "alpha")
		_, _, err := fixture.send("/safe/", "r1", "Ochrebay-Key", otherKey)
		So(err, ShouldBeNil)
		// This request is in flight for some time; the one above may have been too short to count.
		fixture.gateway.engines.usageMeter = admission.NewUsageMeter(clock.NowMs() - 100)
		fixture.gateway.engines.usageMeter.AdjustInFlight("b", "beta", 2, 1, clock.NowMs()-100)
		usages := fixture.gateway.engines.collectTenantUsage(clock.NowMs())
		So(usages, ShouldHaveLength, 1)
		So(usages[0].Tenants, ShouldHaveLength, 1)
		So(usages[0].Tenants[0].Tenant, ShouldEqual, "beta")
		So(usages[0].Tenants[0].Weight, ShouldEqual, 2)
		fixture = newTenantFixture(t, respondSigned)
		fixture.gateway.engines.fairSharesEnabled = true
		_, _, err = fixture.send("/safe/", "r1", "Ochrebay-Key", testKey)
		So(err, ShouldBeNil)
		for _, usage := range fixture.gateway.engines.collectTenantUsage(clock.NowMs()) {
			So(usage.Tenants, ShouldBeEmpty)
		}
	})
}
