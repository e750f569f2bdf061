package capacity

import (
	"fmt"
	"slices"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/ochrebay/ochrebay/internal/simulation"
	"github.com/ochrebay/ochrebay/internal/workload"
)

// The letter's sizes.
const (
	schedulersAtSize = 700
	enginesAtSize    = 12_000
	zonesAtSize      = 18
	regionsAtSize    = 5
	tenantsAtSize    = 48_000
	programsAtSize   = 1_000_000
	groupsAtSize     = 1_024
	changesPerSecond = 0.75
	burstChanges     = 100
)

// shape is the size of a hollow fleet.
type shape struct {
	schedulers int
	engines    int
	zones      int
	groups     int
	sidecars   int
}

func (s shape) deployment() workload.Deployment {
	s.zones = max(3, s.zones)
	deployment := workload.Deployment{
		Name: "hollow", ZoneDelayMs: 3, Controls: 3, LedgerGroups: max(1, s.groups),
		Settings: yaml.MapSlice{
			{Key: "/pools/agents", Value: map[string]any{"model": "agent-8b", "version": "1", "ready_floor": 1}},
			{Key: "/services/triage", Value: map[string]any{"pool": "agents", "rank": 2}},
		},
		Workload: []workload.ServiceShape{{Service: "triage", Share: 1, Turns: workload.Range{Low: 2, High: 5}}},
	}
	for zone := range s.zones {
		name := fmt.Sprintf("zone-%02d", zone)
		deployment.Zones = append(deployment.Zones, name)
		deployment.Schedulers = append(deployment.Schedulers, workload.ZoneCount{Zone: name, Count: share(s.schedulers, s.zones, zone)})
		deployment.Sidecars = append(deployment.Sidecars, workload.ZoneCount{Zone: name, Count: share(s.sidecars, s.zones, zone)})
		deployment.Engines = append(deployment.Engines, workload.EngineCount{
			Zone: name, Pool: "agents", Hardware: "new", Count: share(s.engines, s.zones, zone),
		})
	}
	return deployment
}

// share divides a count over zones.
func share(count, zones, zone int) int {
	part := count / zones
	if zone < count%zones {
		part++
	}
	return part
}

const (
	startLimit = 120 * time.Second
	forceLimit = 30 * time.Second
	probe      = "/tenants/probe-1"
)

// start builds a hollow fleet and waits until every scheduler serves and every
// engine has an owner.
func start(s shape, options simulation.HollowOptions) (*simulation.Hollow, error) {
	fleet, err := simulation.NewHollow(s.deployment(), options)
	if err != nil {
		return nil, err
	}
	if _, ok := fleet.Until(startLimit, func() bool { return fleet.Synced() && fleet.Owned() }); !ok {
		return nil, fmt.Errorf("capacity: a fleet of %+v did not settle", s)
	}
	fleet.Run(5 * time.Second)
	return fleet, nil
}

// changeTimes makes changes and returns how long each took to be in force.
func changeTimes(fleet *simulation.Hollow, count int, pause time.Duration) ([]time.Duration, error) {
	var times []time.Duration
	for range count {
		value := fleet.Set(probe)
		took, ok := fleet.Until(forceLimit, func() bool { return fleet.InForce(probe, value) })
		if !ok {
			return nil, fmt.Errorf("capacity: a change was not in force after %s", forceLimit)
		}
		times = append(times, took)
		fleet.Run(max(0, pause-took))
	}
	return times, nil
}

// fanOutSlopes measures the settings leader against the number of schedulers.
func fanOutSlopes(sizes []int) ([]Slope, error) {
	var quietBytes, quietBusy, changeBytes, changeBusy, inForce, joinBytes, schedulerBytes []Point
	for _, size := range sizes {
		fleet, err := start(shape{schedulers: size, zones: zonesAtSize, engines: size}, simulation.HollowOptions{QuietEngines: true})
		if err != nil {
			return nil, err
		}
		x := float64(size)
		const quiet = 10 * time.Second
		fleet.Reset()
		fleet.Run(quiet)
		leader := fleet.Leader(0)
		quietBytes = append(quietBytes, Point{x, float64(leader.Bytes) / quiet.Seconds()})
		quietBusy = append(quietBusy, Point{x, 100 * leader.Busy.Seconds() / quiet.Seconds()})
		schedulerBytes = append(schedulerBytes, Point{x, float64(fleet.Schedulers().Bytes) / quiet.Seconds() / x})

		const changes = 20
		fleet.Reset()
		times, err := changeTimes(fleet, changes, 500*time.Millisecond)
		if err != nil {
			return nil, err
		}
		used := fleet.Leader(0)
		seconds := changes * 0.5
		changeBytes = append(changeBytes, Point{x, (float64(used.Bytes) - seconds*float64(leader.Bytes)/quiet.Seconds()) / changes})
		changeBusy = append(changeBusy, Point{x, float64((used.Busy - time.Duration(seconds*float64(leader.Busy)/quiet.Seconds())).Microseconds()) / changes})
		inForce = append(inForce, Point{x, float64(slices.Max(times).Milliseconds())})

		name := fleet.Zone("scheduler", "zone-00")[0]
		fleet.Reset()
		fleet.Kill(name)
		fleet.Run(6 * time.Second)
		fleet.Restart(name)
		fleet.Run(6 * time.Second)
		joined := fleet.Leader(0)
		joinBytes = append(joinBytes, Point{x, float64(joined.Bytes) - 12*float64(leader.Bytes)/quiet.Seconds()})
	}
	return []Slope{
		fit("settings leader at rest, sent", "control", "schedulers", "bytes/s", quietBytes),
		fit("settings leader at rest, processor", "control", "schedulers", "% of a core", quietBusy),
		fit("scheduler at rest, sent", "scheduler", "schedulers", "bytes/s", schedulerBytes),
		fit("settings leader, one change, sent", "control", "schedulers", "bytes", changeBytes),
		fit("settings leader, one change, processor", "control", "schedulers", "us", changeBusy),
		fit("change in force everywhere", "all", "schedulers", "ms (virtual)", inForce),
		fit("settings leader, one scheduler lost and back, sent", "control", "schedulers", "bytes", joinBytes),
	}, nil
}

// cellSlopes measures a scheduler against the engines of its cell.
func cellSlopes(sizes []int) ([]Slope, error) {
	var busy []Point
	for _, size := range sizes {
		const schedulers = 6
		fleet, err := start(shape{schedulers: schedulers, zones: 3, engines: size * schedulers}, simulation.HollowOptions{})
		if err != nil {
			return nil, err
		}
		const length = 20 * time.Second
		fleet.Reset()
		fleet.Run(length)
		busy = append(busy, Point{float64(size), 100 * fleet.Schedulers().Busy.Seconds() / schedulers / length.Seconds()})
	}
	return []Slope{fit("scheduler at rest, processor", "scheduler", "engines of the cell", "% of a core", busy)}, nil
}

// groupSlopes measures a control process against its ledger groups.
func groupSlopes(sizes []int) ([]Slope, error) {
	var busy, bytes []Point
	for _, size := range sizes {
		fleet, err := start(shape{schedulers: 3, zones: 3, engines: 3, groups: size}, simulation.HollowOptions{QuietEngines: true, LedgerGroups: size})
		if err != nil {
			return nil, err
		}
		fleet.Run(10 * time.Second)
		const length = 20 * time.Second
		fleet.Reset()
		fleet.Run(length)
		used := fleet.Controls()
		busy = append(busy, Point{float64(size), 100 * used.Busy.Seconds() / 3 / length.Seconds()})
		bytes = append(bytes, Point{float64(size), float64(used.Bytes) / 3 / length.Seconds()})
	}
	return []Slope{
		fit("control process with quiet groups, processor", "control", "ledger groups", "% of a core", busy),
		fit("control process with quiet groups, sent", "control", "ledger groups", "bytes/s", bytes),
	}, nil
}

// turnSlopes measures what calls cost each role.
func turnSlopes(rates []int) ([]Slope, error) {
	var control, controlBytes, scheduler, sidecar, writes []Point
	for _, rate := range rates {
		fleet, err := start(shape{schedulers: 3, zones: 3, engines: 48, groups: 8, sidecars: 3}, simulation.HollowOptions{})
		if err != nil {
			return nil, err
		}
		const length = 20 * time.Second
		fleet.Reset()
		fleet.Run(length)
		rest := [3]simulation.Usage{fleet.Controls(), fleet.Schedulers(), fleet.Sidecars()}
		before, writesBefore := fleet.Calls(), fleet.DiskWrites()
		fleet.Reset()
		fleet.Load(float64(rate), length)
		fleet.Run(length)
		perSecond := float64(fleet.Calls()-before) / length.Seconds()
		point := func(used, rest simulation.Usage) Point {
			return Point{perSecond, float64((used.Busy - rest.Busy).Microseconds()) / length.Seconds()}
		}
		control = append(control, point(fleet.Controls(), rest[0]))
		controlBytes = append(controlBytes, Point{perSecond, float64(fleet.Controls().Bytes-rest[0].Bytes) / length.Seconds()})
		scheduler = append(scheduler, point(fleet.Schedulers(), rest[1]))
		sidecar = append(sidecar, point(fleet.Sidecars(), rest[2]))
		writes = append(writes, Point{perSecond, float64(fleet.DiskWrites()-writesBefore) / length.Seconds()})
	}
	return []Slope{
		fit("three control processes together, processor", "control", "calls/s", "us/s", control),
		fit("three control processes together, sent", "control", "calls/s", "bytes/s", controlBytes),
		fit("three control processes together, writes without group commit", "control", "calls/s", "writes/s", writes),
		fit("schedulers together, processor", "scheduler", "calls/s", "us/s", scheduler),
		fit("sidecars together, processor", "sidecar", "calls/s", "us/s", sidecar),
	}, nil
}
