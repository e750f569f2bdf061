package capacity

import (
	"fmt"
	"slices"
	"time"

	"github.com/ochrebay/ochrebay/internal/program"
	"github.com/ochrebay/ochrebay/internal/settings"
	"github.com/ochrebay/ochrebay/internal/simulation"
)

func milliseconds(name string, took time.Duration) Value {
	return Value{Name: name, Value: float64(took.Microseconds()) / 1000, Unit: "ms (virtual)"}
}

// reportingEngines lets every engine of the fleet report to its owner four times
// a second for a short while.
func reportingEngines(s shape) ([]Value, error) {
	fleet, err := start(s, simulation.HollowOptions{})
	if err != nil {
		return nil, err
	}
	const length = 3 * time.Second
	fleet.Reset()
	fleet.Run(length)
	used := fleet.Schedulers()
	return []Value{
		{Name: "engines", Value: float64(s.engines)},
		{Name: "one scheduler with its engines' reports (decoding aside), processor", Value: 100 * used.Busy.Seconds() / length.Seconds() / float64(s.schedulers), Unit: "% of a core"},
	}, nil
}

// wholeFleet is the letter's fleet with hollow daemons; its engines are listed and
// owned, and their reports left out. Changes are made one by one and in a burst,
// and then there are failures.
func wholeFleet(s shape) ([]Value, error) {
	fleet, err := start(s, simulation.HollowOptions{QuietEngines: true})
	if err != nil {
		return nil, err
	}
	const rest = 10 * time.Second
	fleet.Reset()
	fleet.Run(rest)
	leader := fleet.Leader(0)
	values := []Value{
		{Name: "schedulers", Value: float64(s.schedulers)}, {Name: "engines", Value: float64(s.engines)},
		{Name: "settings leader at rest, processor", Value: 100 * leader.Busy.Seconds() / rest.Seconds(), Unit: "% of a core"},
		{Name: "settings leader at rest, sent", Value: float64(leader.Bytes) / rest.Seconds(), Unit: "bytes/s"},
		{Name: "one scheduler at rest, processor", Value: 100 * fleet.Schedulers().Busy.Seconds() / rest.Seconds() / float64(s.schedulers), Unit: "% of a core"},
		{Name: "one scheduler at rest, sent to control", Value: float64(fleet.Schedulers().Bytes) / rest.Seconds() / float64(s.schedulers), Unit: "bytes/s"},
	}
	more, err := changeRuns(fleet)
	if err != nil {
		return nil, err
	}
	values = append(values, more...)
	more, err = failureRuns(fleet, s)
	return append(values, more...), err
}

func changeRuns(fleet *simulation.Hollow) ([]Value, error) {
	const paced = 20
	pause := time.Second * 4 / 3 // changesPerSecond
	fleet.Reset()
	times, err := changeTimes(fleet, paced, pause)
	if err != nil {
		return nil, err
	}
	leader := fleet.Leader(0)
	slices.Sort(times)
	seconds := paced / changesPerSecond
	values := []Value{
		milliseconds("change in force everywhere, 0.75 a second, median", times[len(times)/2]),
		milliseconds("change in force everywhere, 0.75 a second, longest", times[len(times)-1]),
		{Name: "settings leader at 0.75 changes a second, processor", Value: 100 * leader.Busy.Seconds() / seconds, Unit: "% of a core"},
		{Name: "settings leader at 0.75 changes a second, sent", Value: float64(leader.Bytes) / seconds, Unit: "bytes/s"},
	}
	fleet.Reset()
	all := fleet.Revision() + burstChanges
	for range burstChanges {
		fleet.Set(probe)
	}
	took, ok := fleet.Until(forceLimit, func() bool { return fleet.Revision() >= all && fleet.AtRevision(all) })
	if !ok {
		return nil, fmt.Errorf("capacity: the burst was not in force after %s", forceLimit)
	}
	leader = fleet.Leader(0)
	return append(values,
		milliseconds("burst of 100 changes in force everywhere", took),
		Value{Name: "settings leader in that burst, processor", Value: float64(leader.Busy.Milliseconds()), Unit: "ms"},
		Value{Name: "settings leader in that burst, sent", Value: float64(leader.Bytes), Unit: "bytes"},
	), nil
}

// failureRuns loses a scheduler, a zone, a control machine and a region.
func failureRuns(fleet *simulation.Hollow, s shape) ([]Value, error) {
	var values []Value
	settled := func() bool { return fleet.Owned() }
	lose := func(what string, names []string) error {
		fleet.Reset()
		fleet.Kill(names...)
		took, ok := fleet.Until(startLimit, settled)
		if !ok {
			return fmt.Errorf("capacity: %s: engines without owner after %s", what, startLimit)
		}
		leader := fleet.Leader(0)
		values = append(values, milliseconds(what+": every engine has a live owner after", took),
			Value{Name: what + ": settings leader sent", Value: float64(leader.Bytes), Unit: "bytes"},
			Value{Name: what + ": settings leader, processor", Value: float64(leader.Busy.Milliseconds()), Unit: "ms"})
		fleet.Restart(names...)
		if _, ok := fleet.Until(startLimit, func() bool { return fleet.Synced() && fleet.Owned() }); !ok {
			return fmt.Errorf("capacity: %s: not whole again after %s", what, startLimit)
		}
		fleet.Run(5 * time.Second)
		return nil
	}
	if err := lose("one scheduler lost", fleet.Zone("scheduler", "zone-01")[:1]); err != nil {
		return nil, err
	}
	// Zone 05 holds no control process.
	if err := lose("the schedulers of a zone lost", fleet.Zone("scheduler", "zone-05")); err != nil {
		return nil, err
	}
	control, err := loseControl(fleet)
	if err != nil {
		return nil, err
	}
	region, err := cutRegion(fleet, s)
	return append(append(values, control...), region...), err
}

func loseControl(fleet *simulation.Hollow) ([]Value, error) {
	name := fleet.LeaderName(0)
	fleet.Kill(name)
	value := fleet.Set(probe)
	took, ok := fleet.Until(startLimit, func() bool { return fleet.InForce(probe, value) })
	if !ok {
		return nil, fmt.Errorf("capacity: no change came into force after %s was lost", name)
	}
	fleet.Restart(name)
	fleet.Run(10 * time.Second)
	return []Value{milliseconds("the settings leader lost: a change made at that moment is in force after", took)}, nil
}

// cutRegion cuts a region without control processes off for a minute.
func cutRegion(fleet *simulation.Hollow, s shape) ([]Value, error) {
	var inside, outside []string
	perRegion := (s.zones + regionsAtSize - 1) / regionsAtSize
	for zone := range s.zones {
		name := fmt.Sprintf("zone-%02d", zone)
		for _, kind := range []string{"control", "scheduler"} {
			if zone >= s.zones-perRegion {
				inside = append(inside, fleet.Zone(kind, name)...)
			} else {
				outside = append(outside, fleet.Zone(kind, name)...)
			}
		}
	}
	heal := fleet.Cut(inside, outside)
	fleet.Run(time.Minute)
	value := fleet.Set(probe)
	fleet.Run(5 * time.Second)
	fleet.Reset()
	heal()
	took, ok := fleet.Until(startLimit, func() bool { return fleet.InForce(probe, value) && fleet.Owned() })
	if !ok {
		return nil, fmt.Errorf("capacity: the region was not in line %s after the cut", startLimit)
	}
	leader := fleet.Leader(0)
	return []Value{
		{Name: "region cut off for 65 s: schedulers inside", Value: float64(len(inside))},
		milliseconds("region back: settings and owners in line after", took),
		{Name: "region back: settings leader sent", Value: float64(leader.Bytes), Unit: "bytes"},
	}, nil
}

// manyGroups runs 1,024 ledger groups, about one in twenty busy.
func manyGroups(groups int) ([]Value, error) {
	fleet, err := start(shape{schedulers: 3, zones: 3, engines: 24, groups: groups, sidecars: 3},
		simulation.HollowOptions{LedgerGroups: groups})
	if err != nil {
		return nil, err
	}
	fleet.Run(10 * time.Second)
	const length = 20 * time.Second
	fleet.Reset()
	before := fleet.Calls()
	fleet.Load(float64(groups)/20/length.Seconds(), length)
	fleet.Run(length)
	used := fleet.Controls()
	return []Value{
		{Name: "ledger groups", Value: float64(groups)},
		{Name: "calls answered a second", Value: float64(fleet.Calls()-before) / length.Seconds(), Unit: "1/s"},
		{Name: "one control process, processor", Value: 100 * used.Busy.Seconds() / 3 / length.Seconds(), Unit: "% of a core"},
		{Name: "one control process, sent", Value: float64(used.Bytes) / 3 / length.Seconds(), Unit: "bytes/s"},
	}, nil
}

// manyPrograms holds a ledger of program headers and restarts from its snapshot.
func manyPrograms(count int) ([]Value, error) {
	before := heapBytes()
	ledger := buildLedger(count, sampleTurns)
	memory := heapBytes() - before
	begun := time.Now()
	data, err := ledger.Snapshot()
	if err != nil {
		return nil, err
	}
	wrote := time.Since(begun)
	begun = time.Now()
	restored := program.NewLedger()
	if err := restored.Restore(data); err != nil {
		return nil, err
	}
	took := time.Since(begun)
	begun = time.Now()
	due := restored.SweepDue(0, 1<<40)
	return []Value{
		{Name: "programs", Value: float64(restored.Len())},
		{Name: "memory", Value: memory / megabyte, Unit: "MB"},
		{Name: "snapshot", Value: float64(len(data)) / megabyte, Unit: "MB"},
		{Name: "writing the snapshot", Value: float64(wrote.Milliseconds()), Unit: "ms"},
		{Name: "restart from the snapshot", Value: float64(took.Milliseconds()), Unit: "ms"},
		{Name: fmt.Sprintf("looking for idle programs (due: %t)", due), Value: float64(time.Since(begun).Microseconds()) / 1000, Unit: "ms"},
	}, nil
}

// manyTenants follows a tree with all tenants in it.
func manyTenants(count int) ([]Value, error) {
	state, err := buildTree(count).FollowerState()
	if err != nil {
		return nil, err
	}
	before := heapBytes()
	follower := settings.NewTree()
	begun := time.Now()
	if err := follower.Restore(state); err != nil {
		return nil, err
	}
	took := time.Since(begun)
	memory := heapBytes() - before
	return []Value{
		{Name: "tenants", Value: float64(len(follower.Paths("/tenants")))},
		{Name: "memory of a daemon's tree", Value: memory / megabyte, Unit: "MB"},
		{Name: "whole tree on the wire", Value: float64(len(state)) / megabyte, Unit: "MB"},
		{Name: "restoring it", Value: float64(took.Milliseconds()), Unit: "ms"},
	}, nil
}
