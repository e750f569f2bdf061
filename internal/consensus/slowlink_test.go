package consensus

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// delayed is a message on a link that delivers in order after a fixed time.
type delayed struct {
	atTick  int
	message Message
}

// TestSlowLink holds that a leader does not send again what is only slow: on a crowded link
// that would crowd it for good.
func TestSlowLink(t *testing.T) {
	const (
		wayTicks = 8
		// electionTicks leaves the leader alone: this is about what it sends.
		electionTicks = 60
		ticks         = 400
		proposeEvery  = 10
		entryBytes    = 1000
	)
	Convey("over a link of four heartbeats each way no entry is sent much more often than once", t, func() {
		options := testOptions()
		options.ElectionTicks = electionTicks
		c := newCluster(3, options)
		c.settle(4 * electionTicks)
		leader := c.leader()
		So(leader, ShouldNotBeNil)
		var wire []delayed
		sent := map[ReplicaID]int{}
		proposed := 0
		for tick := range ticks {
			if tick%proposeEvery == 0 && tick < ticks-4*wayTicks {
				_, _, err := leader.Propose(make([]byte, entryBytes))
				So(err, ShouldBeNil)
				proposed += entryBytes
			}
			for _, id := range c.ids() {
				c.nodes[id].Tick()
				c.process(id, 0)
			}
			for _, message := range c.network {
				if message.From == leader.ID() {
					for _, entry := range message.Entries {
						sent[message.To] += len(entry.Data)
					}
				}
				wire = append(wire, delayed{tick + wayTicks, message})
			}
			c.network = nil
			for len(wire) > 0 && wire[0].atTick <= tick {
				c.nodes[wire[0].message.To].Step(wire[0].message)
				wire = wire[1:]
			}
		}
		So(c.leader(), ShouldEqual, leader)
		for _, id := range c.ids() {
			So(c.applied[id], ShouldBeGreaterThanOrEqualTo, uint64(proposed/entryBytes-2*wayTicks/proposeEvery-1))
		}
		for id, bytes := range sent {
			Printf("replica %d: %d bytes for %d\n", id, bytes, proposed)
			So(bytes, ShouldBeLessThan, proposed*3/2)
		}
	})
}
