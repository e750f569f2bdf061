package control

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ochrebay/ochrebay/internal/membership"
	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/result"
)

// reportTo sends an engine's report to a process; onReply receives the error of the reply or nil.
func (c *testCluster) reportTo(member *testMember, engine membership.ServingEngine, onReply func(failure *result.Error)) {
	member.ask(&protocol.FleetRequest{Report: &engine}, func(reply any) { onReply(reply.(*protocol.FleetReply).Error) })
}

// leader returns the reachable process that leads the settings group, nil if there is none.
func (c *testCluster) leader() *testMember {
	for _, member := range c.members {
		if member.core.IsLeader(0) && member.core.fleetTracker != nil && !member.partitioned && !member.paused {
			return member
		}
	}
	return nil
}

func testEngine(number int, sequence uint64) membership.ServingEngine {
	return membership.ServingEngine{ID: fmt.Sprint("e", number), Backend: "b", Address: fmt.Sprintf("10.0.0.%d:1", number), Slots: 2, Sequence: sequence}
}

// TestEngineReports checks that processes other than the leader acknowledge engine reports that
// change nothing, and that the leader still learns of every engine that is alive.
func TestEngineReports(t *testing.T) {
	const engines = 300
	Convey("reports that change nothing are acknowledged by the process that receives them, and keep engines in the fleet", t, func() {
		c := newTestCluster(t, 1)
		c.lossless = true
		// Wait until leadership has been transferred to the preferred process.
		c.run(3000)
		c.run(2000)
		for number := range engines {
			c.reportTo(c.leader(), testEngine(number, 1), func(failure *result.Error) { So(failure, ShouldBeNil) })
		}
		c.run(1000)
		So(c.leader().core.Fleet().EngineCount(), ShouldEqual, engines)
		refused, answered := 0, 0
		for round := range uint64(8) {
			for number := range engines - 1 {
				for _, member := range c.members {
					if member == c.leader() {
						continue
					}
					c.reportTo(member, testEngine(number, round+2), func(failure *result.Error) {
						answered++
						if failure != nil {
							refused++
						}
					})
					break
				}
			}
			c.run(2000)
		}
		So(answered, ShouldEqual, 8*(engines-1))
		So(refused, ShouldEqual, 0)
		Convey("an engine that falls silent is removed", func() {
			So(c.leader().core.Fleet().EngineCount(), ShouldEqual, engines-1)
			_, inFleet := c.leader().core.Fleet().Engine(testEngine(engines-1, 0).ID)
			So(inFleet, ShouldBeFalse)
		})
		Convey("only the leader acknowledges that an engine drains, and the fleet then holds the change", func() {
			draining := testEngine(0, 20)
			draining.Draining = true
			for _, member := range c.members {
				leads := member == c.leader()
				c.reportTo(member, draining, func(failure *result.Error) { So(failure == nil, ShouldEqual, leads) })
			}
			c.run(200)
			current, _ := c.leader().core.Fleet().Engine(draining.ID)
			So(current.Draining, ShouldBeTrue)
		})
		Convey("a partitioned process acknowledges nothing", func() {
			for _, member := range c.members {
				if member != c.leader() {
					member.partitioned = true
					c.run(2 * acknowledgeWindowMs)
					c.reportTo(member, testEngine(1, 30), func(failure *result.Error) { So(failure, ShouldNotBeNil) })
					c.run(100)
					break
				}
			}
		})
	})
}

// TestEngineReportsThroughFaults checks that an engine whose reports are all acknowledged by some
// process never counts as lost, whichever process is partitioned or paused.
func TestEngineReportsThroughFaults(t *testing.T) {
	const engines, reportIntervalMs = 10, 2500
	acknowledged, refused := 0, 0
	for seed := range uint64(25) {
		c := newTestCluster(t, seed)
		c.run(2000)
		registered := map[string]bool{}
		// report retries at random processes, as engines do.
		var report func(engine membership.ServingEngine, attempt int)
		report = func(engine membership.ServingEngine, attempt int) {
			c.reportTo(c.members[c.random.IntN(len(c.members))], engine, func(failure *result.Error) {
				if failure == nil {
					acknowledged++
					registered[engine.ID] = true
				} else if refused++; attempt < 40 {
					report(engine, attempt+1)
				}
			})
		}
		var faulty *testMember
		for step := range 300 {
			for number := range engines {
				if (step*100+number*reportIntervalMs/engines)%reportIntervalMs < 100 {
					report(testEngine(number, uint64(step+1)), 0)
				}
			}
			if step%30 == 29 {
				if faulty != nil {
					faulty.partitioned, faulty.paused = false, false
				}
				faulty = c.members[c.random.IntN(len(c.members))]
				faulty.partitioned = c.random.IntN(2) == 0
				faulty.paused = !faulty.partitioned
			}
			c.run(100)
			leader := c.leader()
			if leader == nil {
				continue
			}
			for id := range registered {
				if _, inFleet := leader.core.Fleet().Engine(id); !inFleet && leader.core.nowMs-leader.core.leadingSinceMs > 1000 {
					t.Fatalf("seed %d, %d ms: live engine %s is not in the fleet", seed, c.nowMs, id)
				}
			}
		}
	}
	if acknowledged < 1000 || refused < 100 {
		t.Fatalf("%d acknowledged, %d refused: too few of either for the test to be meaningful", acknowledged, refused)
	}
	t.Logf("%d acknowledged, %d refused", acknowledged, refused)
}
