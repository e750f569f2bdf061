package emulator

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"github.com/ochrebay/ochrebay/internal/daemon"
	"github.com/ochrebay/ochrebay/internal/membership"
	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/routing"
	"github.com/ochrebay/ochrebay/internal/scheduling"
)

const (
	// hollowPoll is how often a run looks whether what it waits for has come about.
	hollowPoll = 20 * time.Millisecond
	// hollowRetry is how long an engine waits after a report that was not acknowledged.
	hollowRetry = 250 * time.Millisecond
	hollowSlots = 6
)

// EmulatedFleet plays the control traffic of a large fleet against real control processes: engines
// that report, and gateways that follow the fleet, in one process and without requests.
type EmulatedFleet struct {
	// ControlAddresses are the control processes' addresses for engines, Seeds their inner addresses.
	ControlAddresses []string
	SeedAddresses    []string
	EngineCount      int
	GatewayCount     int
	ZoneCount        int
	// EnginesPerGateway is how many engines each gateway is to be told of, 0 where any number will do that
	// all of them have.
	EnginesPerGateway int
	// HeartbeatInterval is the time between two reports of an engine, Steady how long the fleet is
	// watched once it is complete.
	HeartbeatInterval time.Duration
	SteadyDuration    time.Duration
	// SendReport carries an engine's report to a control process.
	SendReport func(ctx context.Context, control string, engine membership.ServingEngine) error
	Out        io.Writer
	Logger     log.Logger

	reports  atomic.Int64
	failed   atomic.Int64
	answers  atomic.Int64
	draining sync.Map
	reported sync.Map
	views    []atomic.Pointer[membership.FleetView]
}

// Run registers the engines, has the gateways follow, watches for a while, drains one
// advertised engine, and prints what each step took. It returns an error where a step did
// not come about before ctx ended.
func (h *EmulatedFleet) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	group := daemon.NewTaskGroup()
	h.views = make([]atomic.Pointer[membership.FleetView], h.GatewayCount)
	for number := range h.EngineCount {
		group.Go(func(ctx context.Context) error { return h.engine(ctx, number) })
	}
	for number := range h.GatewayCount {
		group.Go(h.gateway(number).Run)
	}
	ended := make(chan error, 1)
	go func() { ended <- group.Wait(ctx, func(context.Context) {}) }()
	err := h.steps(ctx)
	cancel()
	<-ended
	return err
}

func (h *EmulatedFleet) steps(ctx context.Context) error {
	if err := h.await(ctx, "engines registered", func() bool { return h.registered() == h.EngineCount }); err != nil {
		return err
	}
	if err := h.await(ctx, "every gateway follows", h.followed); err != nil {
		return err
	}
	h.watch(ctx)
	victim := h.anyAdvertised()
	h.draining.Store(victim, true)
	return h.await(ctx, "a draining engine withdrawn everywhere", func() bool { return !h.advertised(victim) })
}

// await waits until a step has come about and prints how long that took.
func (h *EmulatedFleet) await(ctx context.Context, step string, done func() bool) error {
	began := time.Now()
	failedBefore := h.failed.Load()
	for !done() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("emulator: %s: not within %s", step, time.Since(began).Round(time.Millisecond))
		case <-time.After(hollowPoll):
		}
	}
	_, err := fmt.Fprintf(h.Out, "%-40s %8s  reports not acknowledged %d\n", step, time.Since(began).Round(time.Millisecond), h.failed.Load()-failedBefore)
	return err
}

// watch prints what a fleet costs in which nothing happens.
func (h *EmulatedFleet) watch(ctx context.Context) {
	reports, failed, answers := h.reports.Load(), h.failed.Load(), h.answers.Load()
	select {
	case <-ctx.Done():
	case <-time.After(h.SteadyDuration):
	}
	fmt.Fprintf(h.Out, "%-40s %8s  reports %d, not acknowledged %d, answers with news %d, engines known to a gateway %d\n", "nothing happens", h.SteadyDuration,
		h.reports.Load()-reports, h.failed.Load()-failed, h.answers.Load()-answers, len(h.views[0].Load().Engines))
}

func (h *EmulatedFleet) registered() int {
	count := 0
	h.reported.Range(func(any, any) bool {
		count++
		return true
	})
	return count
}

// followed reports whether every gateway knows as many engines as it should, or where that is
// not said, as any other.
func (h *EmulatedFleet) followed() bool {
	known := h.EnginesPerGateway
	for number := range h.views {
		view := h.views[number].Load()
		if view == nil || len(view.Engines) == 0 {
			return false
		}
		if known == 0 {
			known = len(view.Engines)
		}
		if len(view.Engines) != known {
			return false
		}
	}
	return true
}

func (h *EmulatedFleet) anyAdvertised() string {
	for id := range h.views[0].Load().Engines {
		return id
	}
	return ""
}

func (h *EmulatedFleet) advertised(engine string) bool {
	for number := range h.views {
		if _, known := h.views[number].Load().Engines[engine]; known {
			return true
		}
	}
	return false
}

func (h *EmulatedFleet) zone(number int) string { return fmt.Sprint("zone-", number%h.ZoneCount) }

// engine reports one engine until ctx ends.
func (h *EmulatedFleet) engine(ctx context.Context, number int) error {
	engine := membership.ServingEngine{
		ID: fmt.Sprintf("engine-%06d", number), Backend: "hollow", Zone: h.zone(number), Slots: hollowSlots,
		Address: fmt.Sprintf("127.%d.%d.%d:9", 100+number>>16, number>>8&0xff, number&0xff),
	}
	// Engines start together and report evenly from then on.
	pause := rand.N(h.HeartbeatInterval)
	for ctx.Err() == nil {
		engine.Sequence++
		_, engine.Draining = h.draining.Load(engine.ID)
		h.reports.Add(1)
		if err := h.SendReport(ctx, h.ControlAddresses[rand.IntN(len(h.ControlAddresses))], engine); err != nil {
			h.failed.Add(1)
			pause = hollowRetry
		} else {
			h.reported.Store(engine.ID, true)
		}
		for waited := time.Duration(0); waited < pause && ctx.Err() == nil && h.drainTold(engine); waited += hollowRetry {
			select {
			case <-ctx.Done():
			case <-time.After(min(hollowRetry, pause-waited)):
			}
		}
		pause = h.HeartbeatInterval
	}
	return ctx.Err()
}

// drainTold reports whether an engine has said all that it has to.
func (h *EmulatedFleet) drainTold(engine membership.ServingEngine) bool {
	_, draining := h.draining.Load(engine.ID)
	return draining == engine.Draining
}

// gateway returns the link to control of one gateway that has no callers.
func (h *EmulatedFleet) gateway(number int) *daemon.Follower {
	follower := daemon.NewFollower(h.SeedAddresses, h.Logger)
	follower.WithRouting = true
	follower.OnEngineLoads = func([]scheduling.EngineLoad, []string) {}
	follower.FillReport = func(request *protocol.FleetSync) {
		request.Gateway = &membership.Gateway{
			Name: fmt.Sprintf("hollow-%04d", number), Zone: h.zone(number), Region: "hollow",
			Address: fmt.Sprintf("127.99.%d.%d:9", number>>8, number&0xff), IsReady: true,
		}
	}
	follower.OnUpdate = func(view *membership.FleetView, _ *routing.Table) {
		h.answers.Add(1)
		h.views[number].Store(view)
	}
	return follower
}
