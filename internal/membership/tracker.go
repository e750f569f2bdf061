package membership

import (
	"slices"
	"strings"
)

// Heartbeat is what a scheduler reports to the leader of the settings group.
type Heartbeat struct {
	Scheduler Scheduler `msgpack:"s"`
	// Revision is the settings revision in force at the scheduler.
	Revision uint64 `msgpack:"r"`
	// SidecarCount counts the sidecars that follow the tree through this scheduler;
	// SidecarRevision is the lowest revision in force among them, and Lagging
	// names some of those below the scheduler's own.
	SidecarCount    int      `msgpack:"c"`
	SidecarRevision uint64   `msgpack:"m"`
	LaggingSidecars []string `msgpack:"l,omitempty"`
	// ReadyEngines counts engines ready to serve, by pool.
	ReadyEngines map[string]int `msgpack:"e,omitempty"`
	// QueueLength and InFlight sum up the cell.
	QueueLength int `msgpack:"q"`
	InFlight    int `msgpack:"f"`
}

// Instance is one machine on the platform's list.
type Instance struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	Pool    string `json:"pool"`
	Leaving bool   `json:"leaving"`
}

// Report is the last heartbeat of a scheduler and when it came.
type Report struct {
	Heartbeat  Heartbeat
	ReceivedMs int64
}

// Tracker is the leader's soft state; a new leader starts with an empty one.
type Tracker struct {
	leaseMs   int64
	startMs   int64
	reports   map[string]Report
	instances []Instance
	listed    bool
	// changed is set when something was heard that may call for an update;
	// planned is the directory version that was found in line.
	changed bool
	planned uint64
}

// NewTracker returns the tracker of a leader that began to lead at nowMs.
func NewTracker(leaseMs, nowMs int64) *Tracker {
	return &Tracker{leaseMs: leaseMs, startMs: nowMs, reports: map[string]Report{}, changed: true}
}

// RecordHeartbeat notes a heartbeat.
func (t *Tracker) RecordHeartbeat(heartbeat Heartbeat, nowMs int64) {
	previous, known := t.reports[heartbeat.Scheduler.Name]
	if !known || previous.Heartbeat.Scheduler != heartbeat.Scheduler || nowMs-previous.ReceivedMs > t.leaseMs {
		t.changed = true
	}
	t.reports[heartbeat.Scheduler.Name] = Report{Heartbeat: heartbeat, ReceivedMs: nowMs}
}

// SetInstances notes the platform's list of engines.
func (t *Tracker) SetInstances(instances []Instance) {
	if !t.listed || !slices.Equal(t.instances, instances) {
		t.changed = true
	}
	t.instances = instances
	t.listed = true
}

// LiveReports returns the last report of each scheduler that is alive.
func (t *Tracker) LiveReports(nowMs int64) map[string]Report {
	alive := map[string]Report{}
	for name, report := range t.reports {
		if nowMs-report.ReceivedMs <= t.leaseMs {
			alive[name] = report
		}
	}
	return alive
}

// ReadyEngines sums up the ready engines of a pool over all live schedulers.
func (t *Tracker) ReadyEngines(pool string, nowMs int64) int {
	ready := 0
	for _, report := range t.LiveReports(nowMs) {
		ready += report.Heartbeat.ReadyEngines[pool]
	}
	return ready
}

// Plan returns the update that brings the directory into line with what was
// heard. A scheduler is dropped only when this leader has itself waited a whole
// lease for its heartbeat.
func (t *Tracker) Plan(directory *Directory, nowMs int64) Update {
	var update Update
	if !t.changed && t.planned == directory.Version && !t.anyExpired(directory, nowMs) {
		return update
	}
	alive := map[string]Scheduler{}
	for _, scheduler := range directory.SchedulerList() {
		report, heard := t.reports[scheduler.Name]
		since := t.startMs
		if heard {
			since = report.ReceivedMs
		}
		if nowMs-since > t.leaseMs {
			update.RemoveSchedulers = append(update.RemoveSchedulers, scheduler.Name)
			continue
		}
		alive[scheduler.Name] = scheduler
	}
	for name, report := range t.LiveReports(nowMs) {
		reported := report.Heartbeat.Scheduler
		if current, ok := directory.Schedulers[name]; !ok || current != reported {
			update.Schedulers = append(update.Schedulers, reported)
		}
		alive[name] = reported
	}
	slices.SortFunc(update.Schedulers, func(a, b Scheduler) int { return strings.Compare(a.Name, b.Name) })
	t.planEngines(directory, alive, &update)
	if update.IsEmpty() {
		t.changed = false
		t.planned = directory.Version
	}
	return update
}

// anyExpired reports whether a scheduler of the directory has been silent for a
// lease.
func (t *Tracker) anyExpired(directory *Directory, nowMs int64) bool {
	for name := range directory.Schedulers {
		since := t.startMs
		if report, heard := t.reports[name]; heard {
			since = report.ReceivedMs
		}
		if nowMs-since > t.leaseMs {
			return true
		}
	}
	return false
}

func (t *Tracker) planEngines(directory *Directory, alive map[string]Scheduler, update *Update) {
	desired := map[string]Engine{}
	for _, engine := range directory.Engines {
		desired[engine.Name] = engine
	}
	if t.listed {
		desired = t.fromList(directory)
		for name := range directory.Engines {
			if _, ok := desired[name]; !ok {
				update.RemoveEngines = append(update.RemoveEngines, name)
			}
		}
		slices.Sort(update.RemoveEngines)
	}
	assignOwners(desired, alive)
	for _, engine := range sortedEngines(desired) {
		if current, ok := directory.Engines[engine.Name]; !ok || current != engine {
			update.Engines = append(update.Engines, engine)
		}
	}
}

func (t *Tracker) fromList(directory *Directory) map[string]Engine {
	engines := map[string]Engine{}
	for _, instance := range t.instances {
		current := directory.Engines[instance.Name]
		engines[instance.Name] = Engine{
			Name: instance.Name, Zone: instance.Zone, Address: instance.Address, Pool: instance.Pool,
			Leaving: instance.Leaving, Owner: current.Owner, Epoch: current.Epoch,
		}
	}
	return engines
}

func sortedEngines(engines map[string]Engine) []Engine {
	list := make([]Engine, 0, len(engines))
	for _, engine := range engines {
		list = append(list, engine)
	}
	slices.SortFunc(list, func(a, b Engine) int { return strings.Compare(a.Name, b.Name) })
	return list
}
