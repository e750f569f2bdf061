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

// newOversubscribedFixture is a gateway whose one engine is short, of which a tenant uses more than its
// share and another one less.
func newOversubscribedFixture(t *testing.T, above, below string) *tenantFixture {
	fixture := newTenantFixture(t, func(w http.ResponseWriter, r *http.Request) {
		// Use is counted in milliseconds: a request that takes less may count for nothing.
		time.Sleep(5 * time.Millisecond)
		streamingEngine(1, "", false)(w, r)
	})
	fixture.ledger.setResponse(func(request *protocol.TurnRequest) *protocol.TurnReply {
		if request.Quota != nil {
			return &protocol.TurnReply{Grant: &quota.Grant{}}
		}
		return &protocol.TurnReply{First: request.Reserve != nil}
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
	Convey("a new program of a tenant above its share is rejected, runs nowhere and is told when to come back", t, func() {
		fixture := newOversubscribedFixture(t, "beta", "alpha")
		response, body, err := fixture.send("/stream/", "r1", append(budgetHeaders, "Ochrebay-Key", otherKey)...)
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, 429)
		So(response.Header.Get("Retry-After"), ShouldNotBeBlank)
		So(body, ShouldContainSubstring, "share_used")
		So(fixture.runs.Load(), ShouldEqual, 0)
	})
	Convey("one of a tenant within its share begins, and so does a turn of a program that has begun", t, func() {
		fixture := newOversubscribedFixture(t, "alpha", "beta")
		response, _, err := fixture.send("/stream/", "r1", append(budgetHeaders, "Ochrebay-Key", otherKey)...)
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, 200)
		fixture = newOversubscribedFixture(t, "beta", "alpha")
		response, _, err = fixture.send("/kept/", "r2", append(budgetHeaders, "Ochrebay-Key", otherKey, "Ochrebay-Previous-Turn", "t1")...)
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, 200)
	})
	Convey("turned off it rejects nobody", t, func() {
		fixture := newOversubscribedFixture(t, "beta", "alpha")
		fixture.gateway.engines.fairSharesEnabled = false
		response, _, err := fixture.send("/stream/", "r1", append(budgetHeaders, "Ochrebay-Key", otherKey)...)
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, 200)
	})
	Convey("a gateway says who uses a back end that is nearly short, and names nobody while there is room", t, func() {
		fixture := newOversubscribedFixture(t, "beta", "alpha")
		_, _, err := fixture.send("/safe/", "r1", "Ochrebay-Key", otherKey)
		So(err, ShouldBeNil)
		// One that is under way for some time, which the request before need not have been.
		fixture.gateway.engines.usageMeter = admission.NewUsageMeter(clock.NowMs() - 100)
		fixture.gateway.engines.usageMeter.AdjustInFlight("b", "beta", 2, 1, clock.NowMs()-100)
		uses := fixture.gateway.engines.collectTenantUsage(clock.NowMs())
		So(uses, ShouldHaveLength, 1)
		So(uses[0].Tenants, ShouldHaveLength, 1)
		So(uses[0].Tenants[0].Tenant, ShouldEqual, "beta")
		So(uses[0].Tenants[0].Weight, ShouldEqual, 2)
		fixture = newTenantFixture(t, respondSigned)
		fixture.gateway.engines.fairSharesEnabled = true
		_, _, err = fixture.send("/safe/", "r1", "Ochrebay-Key", testKey)
		So(err, ShouldBeNil)
		for _, use := range fixture.gateway.engines.collectTenantUsage(clock.NowMs()) {
			So(use.Tenants, ShouldBeEmpty)
		}
	})
}
