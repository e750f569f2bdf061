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
	// fleetPollInterval is how often a run checks the condition that it waits for.
	fleetPollInterval = 20 * time.Millisecond
	// reportRetryDelay is how long an engine waits after an unacknowledged report. An
	// engine that waits for its next report also checks at this interval whether it
	// has to report a drain.
	reportRetryDelay = 250 * time.Millisecond
	slotsPerEngine   = 6
)

// EmulatedFleet generates the control-plane traffic of a large fleet against real control
// processes: engines that send reports and gateways that follow the fleet. It runs in one
// process and sends no model requests.
type EmulatedFleet struct {
	// ControlAddresses are the addresses at which the control processes accept engine reports.
	ControlAddresses []string
	// SeedAddresses are the internal addresses of the control processes.
	SeedAddresses []string
	EngineCount   int
	GatewayCount  int
	ZoneCount     int
	// EnginesPerGateway is the number of engines that each gateway must have in its view. 0
	// accepts any number, provided that it is the same for all gateways.
	EnginesPerGateway int
	// HeartbeatInterval is the time between two reports of an engine.
	HeartbeatInterval time.Duration
	// SteadyDuration is how long the complete fleet is observed in steady state.
	SteadyDuration time.Duration
	// SendReport sends an engine's report to a control process.
	SendReport func(ctx context.Context, control string, engine membership.ServingEngine) error
	Out        io.Writer
	Logger     log.Logger

	sentReports         atomic.Int64
	failedReports       atomic.Int64
	viewUpdates         atomic.Int64
	drainingEngines     sync.Map
	acknowledgedEngines sync.Map
	gatewayViews        []atomic.Pointer[membership.FleetView]
}

// Run registers the engines, starts the gateways, observes the fleet in steady state, drains
// one advertised engine, and prints how long each step took. It returns an error if a step did
// not complete before ctx was cancelled.
func (h *EmulatedFleet) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	group := daemon.NewTaskGroup()
	h.gatewayViews = make([]atomic.Pointer[membership.FleetView], h.GatewayCount)
	for number := range h.EngineCount {
		group.Go(func(ctx context.Context) error { return h.runEngine(ctx, number) })
	}
	for number := range h.GatewayCount {
		group.Go(h.newGatewayFollower(number).Run)
	}
	groupEnded := make(chan error, 1)
	go func() { groupEnded <- group.Wait(ctx, func(context.Context) {}) }()
	err := h.runSteps(ctx)
	cancel()
	<-groupEnded
	return err
}

func (h *EmulatedFleet) runSteps(ctx context.Context) error {
	if err := h.waitFor(ctx, "engines registered", func() bool { return h.registeredCount() == h.EngineCount }); err != nil {
		return err
	}
	if err := h.waitFor(ctx, "every gateway follows", h.allGatewaysFollow); err != nil {
		return err
	}
	h.observeSteadyState(ctx)
	victim := h.anyAdvertisedEngine()
	h.drainingEngines.Store(victim, true)
	return h.waitFor(ctx, "a draining engine withdrawn everywhere", func() bool { return !h.isAdvertised(victim) })
}

// waitFor waits until isDone reports that a step is complete and prints how long that took.
func (h *EmulatedFleet) waitFor(ctx context.Context, step string, isDone func() bool) error {
	startedAt := time.Now()
	failedBefore := h.failedReports.Load()
	for !isDone() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("emulator: step %q: not complete after %s", step, time.Since(startedAt).Round(time.Millisecond))
		case <-time.After(fleetPollInterval):
		}
	}
	_, err := fmt.Fprintf(h.Out, "%-40s %8s  reports not acknowledged %d\n", step, time.Since(startedAt).Round(time.Millisecond), h.failedReports.Load()-failedBefore)
	return err
}

// observeSteadyState prints the control traffic of a fleet in which no engine changes state.
func (h *EmulatedFleet) observeSteadyState(ctx context.Context) {
	sentBefore, failedBefore, updatesBefore := h.sentReports.Load(), h.failedReports.Load(), h.viewUpdates.Load()
	select {
	case <-ctx.Done():
	case <-time.After(h.SteadyDuration):
	}
	fmt.Fprintf(h.Out, "%-40s %8s  reports %d, not acknowledged %d, updates of gateways %d, engines known to a gateway %d\n", "steady state", h.SteadyDuration,
		h.sentReports.Load()-sentBefore, h.failedReports.Load()-failedBefore, h.viewUpdates.Load()-updatesBefore, len(h.gatewayViews[0].Load().Engines))
}

func (h *EmulatedFleet) registeredCount() int {
	count := 0
	h.acknowledgedEngines.Range(func(any, any) bool {
		count++
		return true
	})
	return count
}

// allGatewaysFollow reports whether the view of every gateway contains EnginesPerGateway engines
// or, if that is 0, whether all views contain the same nonzero number of engines.
func (h *EmulatedFleet) allGatewaysFollow() bool {
	expected := h.EnginesPerGateway
	for number := range h.gatewayViews {
		view := h.gatewayViews[number].Load()
		if view == nil || len(view.Engines) == 0 {
			return false
		}
		if expected == 0 {
			expected = len(view.Engines)
		}
		if len(view.Engines) != expected {
			return false
		}
	}
	return true
}

func (h *EmulatedFleet) anyAdvertisedEngine() string {
	for id := range h.gatewayViews[0].Load().Engines {
		return id
	}
	return ""
}

func (h *EmulatedFleet) isAdvertised(engineID string) bool {
	for number := range h.gatewayViews {
		if _, known := h.gatewayViews[number].Load().Engines[engineID]; known {
			return true
		}
	}
	return false
}

// zoneOf returns the zone of the engine or gateway with the given number.
func (h *EmulatedFleet) zoneOf(number int) string { return fmt.Sprint("zone-", number%h.ZoneCount) }

// runEngine sends the reports of one engine until ctx is cancelled.
func (h *EmulatedFleet) runEngine(ctx context.Context, number int) error {
	engine := membership.ServingEngine{
		ID: fmt.Sprintf("engine-%06d", number), Backend: "hollow", Zone: h.zoneOf(number), Slots: slotsPerEngine,
		Address: fmt.Sprintf("127.%d.%d.%d:9", 100+number>>16, number>>8&0xff, number&0xff),
	}
	// All engines send their first report at once; the random first delay spreads the
	// reports evenly over the heartbeat interval from then on.
	delay := rand.N(h.HeartbeatInterval)
	for ctx.Err() == nil {
		engine.Sequence++
		_, engine.Draining = h.drainingEngines.Load(engine.ID)
		h.sentReports.Add(1)
		if err := h.SendReport(ctx, h.ControlAddresses[rand.IntN(len(h.ControlAddresses))], engine); err != nil {
			h.failedReports.Add(1)
			delay = reportRetryDelay
		} else {
			h.acknowledgedEngines.Store(engine.ID, true)
		}
		for waited := time.Duration(0); waited < delay && ctx.Err() == nil && h.isDrainingReported(engine); waited += reportRetryDelay {
			select {
			case <-ctx.Done():
			case <-time.After(min(reportRetryDelay, delay-waited)):
			}
		}
		delay = h.HeartbeatInterval
	}
	return ctx.Err()
}

// isDrainingReported reports whether the last report of engine carried its current draining
// state. If not, the engine must report at once.
func (h *EmulatedFleet) isDrainingReported(engine membership.ServingEngine) bool {
	_, draining := h.drainingEngines.Load(engine.ID)
	return draining == engine.Draining
}

// newGatewayFollower returns the follower through which one gateway without callers tracks
// the fleet.
func (h *EmulatedFleet) newGatewayFollower(number int) *daemon.Follower {
	follower := daemon.NewFollower(h.SeedAddresses, h.Logger)
	follower.WithRouting = true
	follower.OnEngineLoads = func([]scheduling.EngineLoad, []string) {}
	follower.FillReport = func(request *protocol.FleetSync) {
		request.Gateway = &membership.Gateway{
			Name: fmt.Sprintf("hollow-%04d", number), Zone: h.zoneOf(number), Region: "hollow",
			Address: fmt.Sprintf("127.99.%d.%d:9", number>>8, number&0xff), IsReady: true,
		}
	}
	follower.OnUpdate = func(view *membership.FleetView, _ *routing.Table) {
		h.viewUpdates.Add(1)
		h.gatewayViews[number].Store(view)
	}
	return follower
}
