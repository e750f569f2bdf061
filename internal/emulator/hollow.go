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
	// fleetPollInterval is the time between two checks of the condition that a step waits for.
	fleetPollInterval = 20 * time.Millisecond
	// reportRetryDelay is the delay before an engine sends another report after one that
	// was not acknowledged. It is also the interval at which an engine checks, between
	// reports, whether it has to report a drain.
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
func (f *EmulatedFleet) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	group := daemon.NewTaskGroup()
	f.gatewayViews = make([]atomic.Pointer[membership.FleetView], f.GatewayCount)
	for number := range f.EngineCount {
		group.Go(func(ctx context.Context) error { return f.runEngine(ctx, number) })
	}
	for number := range f.GatewayCount {
		group.Go(f.newGatewayFollower(number).Run)
	}
	groupEnded := make(chan error, 1)
	go func() { groupEnded <- group.Wait(ctx, func(context.Context) {}) }()
	err := f.runSteps(ctx)
	cancel()
	<-groupEnded
	return err
}

func (f *EmulatedFleet) runSteps(ctx context.Context) error {
	if err := f.waitFor(ctx, "engines registered", func() bool { return f.registeredCount() == f.EngineCount }); err != nil {
		return err
	}
	if err := f.waitFor(ctx, "every gateway follows", f.allViewsComplete); err != nil {
		return err
	}
	f.observeSteadyState(ctx)
	drainingID := f.anyAdvertisedEngine()
	f.drainingEngines.Store(drainingID, true)
	return f.waitFor(ctx, "a draining engine withdrawn everywhere", func() bool { return !f.isAdvertised(drainingID) })
}

// waitFor waits until isDone reports that a step is complete and prints how long that took.
func (f *EmulatedFleet) waitFor(ctx context.Context, step string, isDone func() bool) error {
	startedAt := time.Now()
	failedBefore := f.failedReports.Load()
	for !isDone() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("emulator: step %q: not complete after %s", step, time.Since(startedAt).Round(time.Millisecond))
		case <-time.After(fleetPollInterval):
		}
	}
	_, err := fmt.Fprintf(f.Out, "%-40s %8s  reports not acknowledged %d\n", step, time.Since(startedAt).Round(time.Millisecond), f.failedReports.Load()-failedBefore)
	return err
}

// observeSteadyState prints the control traffic of a fleet in which no engine changes state.
func (f *EmulatedFleet) observeSteadyState(ctx context.Context) {
	sentBefore, failedBefore, updatesBefore := f.sentReports.Load(), f.failedReports.Load(), f.viewUpdates.Load()
	select {
	case <-ctx.Done():
	case <-time.After(f.SteadyDuration):
	}
	fmt.Fprintf(f.Out, "%-40s %8s  reports %d, not acknowledged %d, updates of gateways %d, engines known to a gateway %d\n", "steady state", f.SteadyDuration,
		f.sentReports.Load()-sentBefore, f.failedReports.Load()-failedBefore, f.viewUpdates.Load()-updatesBefore, len(f.gatewayViews[0].Load().Engines))
}

func (f *EmulatedFleet) registeredCount() int {
	count := 0
	f.acknowledgedEngines.Range(func(any, any) bool {
		count++
		return true
	})
	return count
}

// allViewsComplete reports whether the view of every gateway contains EnginesPerGateway engines
// or, if that is 0, whether all views contain the same nonzero number of engines.
func (f *EmulatedFleet) allViewsComplete() bool {
	expected := f.EnginesPerGateway
	for number := range f.gatewayViews {
		view := f.gatewayViews[number].Load()
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

func (f *EmulatedFleet) anyAdvertisedEngine() string {
	for id := range f.gatewayViews[0].Load().Engines {
		return id
	}
	return ""
}

func (f *EmulatedFleet) isAdvertised(engineID string) bool {
	for number := range f.gatewayViews {
		if _, known := f.gatewayViews[number].Load().Engines[engineID]; known {
			return true
		}
	}
	return false
}

// zoneOf returns the zone of the engine or gateway with the given number.
func (f *EmulatedFleet) zoneOf(number int) string { return fmt.Sprint("zone-", number%f.ZoneCount) }

// runEngine sends the reports of one engine until ctx is cancelled.
func (f *EmulatedFleet) runEngine(ctx context.Context, number int) error {
	engine := membership.ServingEngine{
		ID: fmt.Sprintf("engine-%06d", number), Backend: "hollow", Zone: f.zoneOf(number), Slots: slotsPerEngine,
		// Each engine has its own loopback address; the fleet does not listen on it.
		Address: fmt.Sprintf("127.%d.%d.%d:9", 100+number>>16, number>>8&0xff, number&0xff),
	}
	// All engines send their first report at once; the random first delay spreads the
	// reports evenly over the heartbeat interval from then on.
	delay := rand.N(f.HeartbeatInterval)
	for ctx.Err() == nil {
		engine.Sequence++
		_, engine.Draining = f.drainingEngines.Load(engine.ID)
		f.sentReports.Add(1)
		if err := f.SendReport(ctx, f.ControlAddresses[rand.IntN(len(f.ControlAddresses))], engine); err != nil {
			f.failedReports.Add(1)
			delay = reportRetryDelay
		} else {
			f.acknowledgedEngines.Store(engine.ID, true)
		}
		for waited := time.Duration(0); waited < delay && ctx.Err() == nil && f.isDrainingReported(engine); waited += reportRetryDelay {
			select {
			case <-ctx.Done():
			case <-time.After(min(reportRetryDelay, delay-waited)):
			}
		}
		delay = f.HeartbeatInterval
	}
	return ctx.Err()
}

// isDrainingReported reports whether the last report of engine carried its current draining
// state. If not, the engine must report at once.
func (f *EmulatedFleet) isDrainingReported(engine membership.ServingEngine) bool {
	_, draining := f.drainingEngines.Load(engine.ID)
	return draining == engine.Draining
}

// newGatewayFollower returns the follower through which one gateway without callers tracks
// the fleet.
func (f *EmulatedFleet) newGatewayFollower(number int) *daemon.Follower {
	follower := daemon.NewFollower(f.SeedAddresses, f.Logger)
	follower.WithRouting = true
	follower.OnEngineLoads = func([]scheduling.EngineLoad, []string) {}
	follower.FillReport = func(request *protocol.FleetSync) {
		request.Gateway = &membership.Gateway{
			Name: fmt.Sprintf("hollow-%04d", number), Zone: f.zoneOf(number), Region: "hollow",
			Address: fmt.Sprintf("127.99.%d.%d:9", number>>8, number&0xff), IsReady: true,
		}
	}
	follower.OnUpdate = func(view *membership.FleetView, _ *routing.Table) {
		f.viewUpdates.Add(1)
		f.gatewayViews[number].Store(view)
	}
	return follower
}
