package consensus

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// delayedMessage is a message on a link that delivers in order after a fixed delay.
type delayedMessage struct {
	deliverTick int
	message     Message
}

// TestSlowLink checks that a leader does not retransmit messages that are delayed but not lost.
// Retransmissions would keep a congested link congested.
func TestSlowLink(t *testing.T) {
	const (
		oneWayTicks = 8
		// electionTicks is long enough that the leader is not replaced. The test is only about the
		// messages that it sends.
		electionTicks        = 60
		durationTicks        = 400
		proposeIntervalTicks = 10
		entryBytes           = 1000
	)
	Convey("over a link with a delay of four heartbeat intervals each way, the leader sends each follower less than 1.5 times the proposed bytes", t, func() {
		options := testOptions()
		options.ElectionTicks = electionTicks
		c := newCluster(3, options)
		c.runTicks(4 * electionTicks)
		leader := c.leader()
		So(leader, ShouldNotBeNil)
		var link []delayedMessage
		sentBytes := map[ReplicaID]int{}
		proposedBytes := 0
		for tick := range durationTicks {
			if tick%proposeIntervalTicks == 0 && tick < durationTicks-4*oneWayTicks {
				_, _, err := leader.Propose(make([]byte, entryBytes))
				So(err, ShouldBeNil)
				proposedBytes += entryBytes
			}
			for _, id := range c.ids() {
				c.nodes[id].Tick()
				c.process(id, 0)
			}
			for _, message := range c.inFlight {
				if message.From == leader.ID() {
					for _, entry := range message.Entries {
						sentBytes[message.To] += len(entry.Data)
					}
				}
				link = append(link, delayedMessage{tick + oneWayTicks, message})
			}
			c.inFlight = nil
			for len(link) > 0 && link[0].deliverTick <= tick {
				c.nodes[link[0].message.To].Step(link[0].message)
				link = link[1:]
			}
		}
		So(c.leader(), ShouldEqual, leader)
		for _, id := range c.ids() {
			So(c.appliedIndex[id], ShouldBeGreaterThanOrEqualTo, uint64(proposedBytes/entryBytes-2*oneWayTicks/proposeIntervalTicks-1))
		}
		for id, bytes := range sentBytes {
			Printf("replica %d: %d bytes sent for %d proposed bytes\n", id, bytes, proposedBytes)
			So(bytes, ShouldBeLessThan, proposedBytes*3/2)
		}
	})
}
