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

// longerThanLease exceeds the default lease of a scheduler, 3 s.
const longerThanLease = 4 * time.Second

// TestFailures injects failures into real processes under load. The driver checks the responses
// that callers get, and every program must complete.
func TestFailures(t *testing.T) {
	f := startFleet(t, "small.yaml")
	cases := []struct {
		name    string
		disturb func(t *testing.T, f *fleet)
	}{
		{"the ledger leader is killed", killLedgerLeader},
		{"a scheduler with open streams is killed", killScheduler},
		{"an engine is killed in the middle of streams", killEngine},
		{"the leader is frozen for longer than its lease", freezeLeader},
		{"every daemon is restarted one after the other", rollingRestart},
		{"a setting is changed hundreds of times while a control process and a scheduler are down", changesWhileDown},
		{"a data folder is lost and repaired, then a second one", loseDataFolders},
	}
	for seed, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			disturbed := &fleet{t: t, data: f.data}
			driver := disturbed.driver()
			outcomes := disturbed.runUnderLoad(driver, disturbed.programs(uint64(seed+1)), func() {
				time.Sleep(time.Second)
				c.disturb(t, disturbed)
			})
			disturbed.expectAllEnded(driver, outcomes)
			if c.name == "every daemon is restarted one after the other" {
				disturbed.expectNoTruncation(outcomes)
			}
		})
	}
}

// programs returns 5 s of arrivals of the deployment's workload at twice its rate.
func (f *fleet) programs(seed uint64) []workload.Program {
	f.t.Helper()
	deployment, err := workload.LoadDeployment("../../deployments/small.yaml")
	if err != nil {
		f.t.Fatal(err)
	}
	return workload.Generate(deployment, seed, 2, 5000)
}

func (f *fleet) expectNoTruncation(outcomes []workload.ProgramOutcome) {
	f.t.Helper()
	for _, outcome := range outcomes {
		if outcome.TruncatedStreams > 0 {
			f.t.Errorf("program %s: %d responses were truncated by a planned stop", outcome.ID, outcome.TruncatedStreams)
		}
	}
}

// leader waits for a leader of a consensus group and returns its name.
func (f *fleet) leader(group uint32) string {
	f.t.Helper()
	name := ""
	f.waitFor(fmt.Sprintf("a leader of group %d", group), func() bool {
		for _, groupView := range f.status().Groups {
			if groupView.Group == group && groupView.Leader != "" {
				name = groupView.Leader
			}
		}
		return name != ""
	})
	return name
}

// voters returns the replica IDs of a member by group, for those groups in which it is a voter.
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

// waitAllVoters waits until every control process is a voter of every group.
func (f *fleet) waitAllVoters() {
	f.t.Helper()
	controls := f.addresses("control-")
	f.waitReady("control-")
	f.waitFor("three voters in every group", func() bool {
		groups := len(f.status().Groups)
		for _, process := range controls {
			if len(f.voters(process.name)) != groups {
				return false
			}
		}
		return groups > 0
	})
}

func (f *fleet) killAndStart(name string) {
	f.t.Helper()
	f.runScript("kill", name)
	time.Sleep(longerThanLease)
	f.runScript("start", name)
	f.waitReady(name)
}

func killLedgerLeader(t *testing.T, f *fleet) {
	f.killAndStart(f.leader(1))
	f.waitAllVoters()
}

func killScheduler(t *testing.T, f *fleet) {
	f.killAndStart("scheduler-east-1")
}

func killEngine(t *testing.T, f *fleet) {
	f.killAndStart("engine-agents-1")
}

func freezeLeader(t *testing.T, f *fleet) {
	leader := f.leader(1)
	f.runScript("freeze", leader)
	time.Sleep(longerThanLease)
	f.runScript("thaw", leader)
	f.waitAllVoters()
}

func rollingRestart(t *testing.T, f *fleet) {
	for _, prefix := range []string{"sidecar-", "scheduler-", "control-"} {
		for _, process := range f.addresses(prefix) {
			f.runScript("stop", process.name)
			f.runScript("start", process.name)
			f.waitReady(process.name)
			if prefix == "control-" {
				f.waitAllVoters()
			}
		}
	}
}

func changesWhileDown(t *testing.T, f *fleet) {
	const changes = 300
	stopped := "control-2"
	f.runScript("stop", stopped)
	f.runScript("stop", "scheduler-west-1")
	for number := range changes {
		f.mustRun("settings", "set", "/tenants/busy", fmt.Sprintf("tenant_in_flight=%d", 100+number))
	}
	before := f.status().Revision
	f.runScript("start", stopped)
	f.runScript("start", "scheduler-west-1")
	f.waitAllVoters()
	f.waitReady("scheduler-west-1")
	f.waitFor("the revision in force everywhere", func() bool {
		status := f.status()
		for _, daemon := range status.Daemons {
			if daemon.Revision < before {
				return false
			}
		}
		return len(status.Daemons) >= 2
	})
}

func loseDataFolders(t *testing.T, f *fleet) {
	for _, name := range []string{"control-1", "control-2"} {
		f.runScript("kill", name)
		if err := os.RemoveAll(filepath.Join(f.data, "data", name)); err != nil {
			t.Fatal(err)
		}
		lostReplicas := f.voters(name)
		f.runScript("start", name)
		f.waitFor("new replicas to replace the lost ones", func() bool {
			current := f.voters(name)
			for group, id := range lostReplicas {
				if currentID, ok := current[group]; !ok || currentID == id {
					return false
				}
			}
			return true
		})
		f.waitAllVoters()
	}
	if f.status().Revision == 0 {
		t.Error("the settings were lost together with the disks")
	}
}

// hasUnknownOutcome reports whether a program whose calls run at most once failed with
// outcome_unknown. This is correct behavior, because such a call can't be retried when its engine
// or scheduler is lost.
func hasUnknownOutcome(outcome workload.ProgramOutcome) bool {
	return outcome.Program.AtMostOnce && outcome.Err.Code == result.OutcomeUnknown
}
