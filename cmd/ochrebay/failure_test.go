package main

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/ochrebay/ochrebay/internal/consensus"
	"github.com/ochrebay/ochrebay/internal/result"
	"github.com/ochrebay/ochrebay/internal/workload"
)

const leaseAndMore = 4 * time.Second

// TestFailures brings failures about among real processes under load. What
// callers see is checked by the driver; every program must be answered to its
// end.
func TestFailures(t *testing.T) {
	f := startFleet(t, "small.yaml")
	cases := []struct {
		name    string
		disturb func(t *testing.T, f *fleet)
	}{
		{"the ledger leader is killed", killLedgerLeader},
		{"a scheduler with open streams is killed", killScheduler},
		{"an engine is killed in mid stream", killEngine},
		{"the leader is frozen for longer than its lease", freezeLeader},
		{"every daemon is restarted in turn", rollingRestart},
		{"hundreds of settings change while a daemon is down", changesWhileDown},
		{"a data folder is lost and repaired, then a second one", loseDisks},
	}
	for seed, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			disturbed := &fleet{t: t, data: f.data}
			driver := disturbed.driver()
			outcomes := disturbed.underLoad(driver, disturbed.programs(uint64(seed+1)), func() {
				time.Sleep(time.Second)
				c.disturb(t, disturbed)
			})
			disturbed.expectAllEnded(driver, outcomes)
			if c.name == "every daemon is restarted in turn" {
				disturbed.expectNoneCut(outcomes)
			}
		})
	}
}

// programs returns a few seconds of the deployment's workload.
func (f *fleet) programs(seed uint64) []workload.Program {
	f.t.Helper()
	deployment, err := workload.LoadDeployment("../../deployments/small.yaml")
	if err != nil {
		f.t.Fatal(err)
	}
	return workload.Generate(deployment, seed, 2, 5000)
}

func (f *fleet) expectNoneCut(outcomes []workload.ProgramOutcome) {
	f.t.Helper()
	for _, outcome := range outcomes {
		if outcome.TruncatedStreams > 0 {
			f.t.Errorf("program %s: %d answers were cut off by a planned stop", outcome.ID, outcome.TruncatedStreams)
		}
	}
}

// leader returns the control process that leads a log group.
func (f *fleet) leader(group uint32) string {
	f.t.Helper()
	name := ""
	f.until(fmt.Sprintf("a leader of group %d", group), func() bool {
		for _, known := range f.status().Groups {
			if known.Group == group && known.Leader != "" {
				name = known.Leader
			}
		}
		return name != ""
	})
	return name
}

// voters returns the replica id of a member's voter in each group.
func (f *fleet) voters(member string) map[uint32]consensus.ReplicaID {
	f.t.Helper()
	voters := map[uint32]consensus.ReplicaID{}
	for _, group := range f.status().Groups {
		for _, replica := range group.Replicas {
			if replica.Member == member && !replica.IsLearner {
				voters[group.Group] = replica.ID
			}
		}
	}
	return voters
}

// whole waits until every control process is a voter of every group again.
func (f *fleet) whole() {
	f.t.Helper()
	controls := f.addresses("control-")
	f.ready("control-")
	f.until("three voters in every group", func() bool {
		groups := len(f.status().Groups)
		for _, line := range controls {
			if len(f.voters(line.name)) != groups {
				return false
			}
		}
		return groups > 0
	})
}

func (f *fleet) killAndStart(name string) {
	f.t.Helper()
	f.script("kill", name)
	time.Sleep(leaseAndMore)
	f.script("start", name)
	f.ready(name)
}

func killLedgerLeader(t *testing.T, f *fleet) {
	f.killAndStart(f.leader(1))
	f.whole()
}

func killScheduler(t *testing.T, f *fleet) {
	f.killAndStart("scheduler-east-1")
}

func killEngine(t *testing.T, f *fleet) {
	f.killAndStart("engine-agents-1")
}

func freezeLeader(t *testing.T, f *fleet) {
	leader := f.leader(1)
	f.script("freeze", leader)
	time.Sleep(leaseAndMore)
	f.script("thaw", leader)
	f.whole()
}

func rollingRestart(t *testing.T, f *fleet) {
	for _, prefix := range []string{"sidecar-", "scheduler-", "control-"} {
		for _, line := range f.addresses(prefix) {
			f.script("stop", line.name)
			f.script("start", line.name)
			f.ready(line.name)
			if prefix == "control-" {
				f.whole()
			}
		}
	}
}

func changesWhileDown(t *testing.T, f *fleet) {
	const changes = 300
	down := "control-2"
	f.script("stop", down)
	f.script("stop", "scheduler-west-1")
	for number := range changes {
		f.must("settings", "set", "/tenants/busy", fmt.Sprintf("tenant_in_flight=%d", 100+number))
	}
	before := f.status().Revision
	f.script("start", down)
	f.script("start", "scheduler-west-1")
	f.whole()
	f.ready("scheduler-west-1")
	f.until("the revision in force everywhere", func() bool {
		status := f.status()
		for _, daemon := range status.Daemons {
			if daemon.Revision < before {
				return false
			}
		}
		return len(status.Daemons) >= 2
	})
}

func loseDisks(t *testing.T, f *fleet) {
	for _, name := range []string{"control-1", "control-2"} {
		f.script("kill", name)
		if err := os.RemoveAll(filepath.Join(f.data, "data", name)); err != nil {
			t.Fatal(err)
		}
		lost := f.voters(name)
		f.script("start", name)
		f.until("new replicas to take the place of the lost ones", func() bool {
			present := f.voters(name)
			for group, id := range lost {
				if now, ok := present[group]; !ok || now == id {
					return false
				}
			}
			return true
		})
		f.whole()
	}
	if f.status().Revision == 0 {
		t.Error("the settings were lost with the disks")
	}
}

// endedHonestly reports whether an error is the truthful end of a call that may
// not be repeated and whose engine or scheduler was lost.
func endedHonestly(outcome workload.ProgramOutcome) bool {
	return outcome.Program.AtMostOnce && outcome.Err.Code == result.OutcomeUnknown
}
