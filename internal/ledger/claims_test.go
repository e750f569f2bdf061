package ledger

import (
	"fmt"
	"slices"
	"testing"

	"github.com/ochrebay/ochrebay/internal/program"
	"github.com/ochrebay/ochrebay/internal/protocol"
)

const claimTestLimit = 3

// claimKey is the request whose attempts are claimed.
var claimKey = program.RequestKey{Scope: "p", Fingerprint: "f"}

// newReservation returns a request that opens a turn and claims its first attempt.
func newReservation(turn string) *protocol.TurnRequest {
	claim := &program.Crash{Key: claimKey, Attempts: []string{turn}, RetentionMs: 3_600_000}
	return &protocol.TurnRequest{Group: 1, Reserve: &program.Reserve{Program: claimKey.Scope, Request: turn, BudgetTokens: 1_000_000, MaxTokens: 1, Fingerprint: claimKey.Fingerprint, Claim: claim}}
}

// TestClaimsUnderFaults guards against a request of which more attempts than allowed are admitted at the
// same time, because a claim is lost, or is admitted by a replica that leads no longer, while ledger hosts
// crash, are partitioned or lose their disks.
func TestClaimsUnderFaults(t *testing.T) {
	for seed := range uint64(30) {
		c := newCluster(t, seed, 4, 3)
		open := map[string]bool{}
		admitted := 0
		for step := range 16 {
			attempt := fmt.Sprint(step)
			if leader := c.leader(); leader != nil {
				leader.sendRequest(newReservation(attempt), func(reply *protocol.TurnReply) {
					if reply.Error != nil || reply.Crashes == nil || !reply.Crashes.Admits(attempt, claimTestLimit) {
						return
					}
					admitted++
					if open[attempt] = true; len(open) > claimTestLimit {
						t.Errorf("seed %d: attempts %v are admitted at the same time", seed, open)
					}
				})
			}
			c.run(int64(20 + c.random.IntN(200)))
			if c.random.IntN(2) == 0 {
				c.closeClaim(open)
			}
			if c.random.IntN(2) == 0 {
				c.strike(c.nodes[c.random.IntN(len(c.nodes))], func() {})
			}
		}
		if admitted < claimTestLimit {
			t.Fatalf("seed %d: only %d attempts were admitted", seed, admitted)
		}
	}
}

// closeClaim settles the turn of one open attempt. The attempt is closed from the moment at which the
// settlement is sent.
func (c *cluster) closeClaim(open map[string]bool) {
	leader := c.leader()
	if leader == nil || len(open) == 0 {
		return
	}
	attempts := make([]string, 0, len(open))
	for attempt := range open {
		attempts = append(attempts, attempt)
	}
	slices.Sort(attempts)
	closed := attempts[c.random.IntN(len(attempts))]
	delete(open, closed)
	settle := &program.Settle{Program: claimKey.Scope, Request: closed, ClosedClaim: &program.Crash{Key: claimKey, Survived: []string{closed}}}
	leader.sendRequest(&protocol.TurnRequest{Group: 1, Settle: settle}, func(*protocol.TurnReply) {})
}

// TestClaimsBesideAnEarlierRelease guards against replicas that come to different states because one of an
// earlier release ignores claims in reservations and settlements.
func TestClaimsBesideAnEarlierRelease(t *testing.T) {
	c := newCluster(t, 1, 3, 3)
	c.runUntil("a leader", func() bool { return c.leader() != nil })
	leader := c.leader()
	isRecorded := func(attempt string) bool {
		return slices.Contains(leader.core.StateMachine(1).turns.Crashes(leader.core.nowMs, claimKey).Attempts, attempt)
	}
	reserve := func(attempt string) {
		answered := false
		leader.sendRequest(newReservation(attempt), func(reply *protocol.TurnReply) { answered = reply.Error == nil })
		c.runUntil("a reservation", func() bool { return answered })
	}
	c.run(500)
	reserve("r1")
	if !isRecorded("r1") {
		t.Fatal("a claim is not recorded with a reservation although all replicas support it")
	}
	var other string
	for _, node := range c.nodes {
		if node != leader {
			other = node.host.Member
		}
	}
	c.earlierRelease = other
	c.run(500)
	reserve("r2")
	if isRecorded("r2") {
		t.Fatal("a claim is recorded with a reservation although a replica would ignore it")
	}
	settle := &program.Settle{Program: claimKey.Scope, Request: "r1", ClosedClaim: &program.Crash{Key: claimKey, Survived: []string{"r1"}}}
	leader.sendRequest(&protocol.TurnRequest{Group: 1, Settle: settle}, func(*protocol.TurnReply) {})
	c.runUntil("the claim to be closed by itself", func() bool { return !isRecorded("r1") })
}
