package membership

import (
	"slices"
	"strings"
)

// Heartbeat is the message that a scheduler sends to the leader of the settings group.
type Heartbeat struct {
	Scheduler Scheduler `msgpack:"s"`
	// Revision is the settings revision in force at the scheduler.
	Revision uint64 `msgpack:"r"`
	// SidecarCount is the number of sidecars that follow the settings tree through this
	// scheduler. SidecarRevision is the lowest revision in force among them, and
	// LaggingSidecars lists some of those below the scheduler's own revision.
	SidecarCount    int      `msgpack:"c"`
	SidecarRevision uint64   `msgpack:"m"`
	LaggingSidecars []string `msgpack:"l,omitempty"`
	// ReadyEngines is the number of engines ready to serve, by pool.
	ReadyEngines map[string]int `msgpack:"e,omitempty"`
	// QueueLength is the number of calls that wait in the scheduler, and InFlight the number of
	// its attempts in flight.
	QueueLength int `msgpack:"q"`
	InFlight    int `msgpack:"f"`
}

// Instance is one machine in the platform's list.
type Instance struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	Pool    string `json:"pool"`
	Leaving bool   `json:"leaving"`
}

// Report is a scheduler's last heartbeat and its receive time.
type Report struct {
	Heartbeat  Heartbeat
	ReceivedMs int64
}

// Tracker is the leader's soft state. A new leader starts with an empty one.
type Tracker struct {
	leaseMs      int64
	startMs      int64
	reports      map[string]Report
	instances    []Instance
	hasInstances bool
	// hasChanged is set when a message may require an update. plannedVersion is the directory
	// version that needed no update.
	hasChanged     bool
	plannedVersion uint64
}

// NewTracker returns the tracker of a leader whose leadership began at nowMs.
func NewTracker(leaseMs, nowMs int64) *Tracker {
	return &Tracker{leaseMs: leaseMs, startMs: nowMs, reports: map[string]Report{}, hasChanged: true}
}

// RecordHeartbeat records a heartbeat.
func (t *Tracker) RecordHeartbeat(heartbeat Heartbeat, nowMs int64) {
	previous, known := t.reports[heartbeat.Scheduler.Name]
	if !known || previous.Heartbeat.Scheduler != heartbeat.Scheduler || nowMs-previous.ReceivedMs > t.leaseMs {
		t.hasChanged = true
	}
	t.reports[heartbeat.Scheduler.Name] = Report{Heartbeat: heartbeat, ReceivedMs: nowMs}
}

// SetInstances records the platform's list of instances.
func (t *Tracker) SetInstances(instances []Instance) {
	if !t.hasInstances || !slices.Equal(t.instances, instances) {
		t.hasChanged = true
	}
	t.instances = instances
	t.hasInstances = true
}

// LiveReports returns the last report of each scheduler within its lease.
func (t *Tracker) LiveReports(nowMs int64) map[string]Report {
	alive := map[string]Report{}
	for name, report := range t.reports {
		if nowMs-report.ReceivedMs <= t.leaseMs {
			alive[name] = report
		}
	}
	return alive
}

// ReadyEngines returns the number of ready engines of a pool over all live schedulers.
func (t *Tracker) ReadyEngines(pool string, nowMs int64) int {
	ready := 0
	for _, report := range t.LiveReports(nowMs) {
		ready += report.Heartbeat.ReadyEngines[pool]
	}
	return ready
}

// Plan returns the update that aligns the directory with the recorded heartbeats and
// instances. A scheduler is removed only after this leader itself has waited for its heartbeat
// for a full lease.
func (t *Tracker) Plan(directory *Directory, nowMs int64) Update {
	var update Update
	if !t.hasChanged && t.plannedVersion == directory.Version && !t.hasExpiredLease(directory, nowMs) {
		return update
	}
	alive := map[string]Scheduler{}
	for _, scheduler := range directory.SchedulerList() {
		report, reported := t.reports[scheduler.Name]
		sinceMs := t.startMs
		if reported {
			sinceMs = report.ReceivedMs
		}
		if nowMs-sinceMs > t.leaseMs {
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
		t.hasChanged = false
		t.plannedVersion = directory.Version
	}
	return update
}

// hasExpiredLease reports whether a scheduler in the directory has sent no heartbeat for a
// full lease.
func (t *Tracker) hasExpiredLease(directory *Directory, nowMs int64) bool {
	for name := range directory.Schedulers {
		sinceMs := t.startMs
		if report, reported := t.reports[name]; reported {
			sinceMs = report.ReceivedMs
		}
		if nowMs-sinceMs > t.leaseMs {
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
	if t.hasInstances {
		desired = t.enginesFromInstances(directory)
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

func (t *Tracker) enginesFromInstances(directory *Directory) map[string]Engine {
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
