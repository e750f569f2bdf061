package daemon

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// searchUntilFound plays the search for a new leader from the loss of one whose machine froze,
// in virtual time, and returns how long it took. The other processes name the frozen one as the
// leader for hintedFor.
func searchUntilFound(seed uint64, hintedFor time.Duration) time.Duration {
	const (
		frozen, successor = "a", "b"
		answerTakes       = 5 * time.Millisecond
		giveUp            = time.Minute
	)
	random := rand.New(rand.NewPCG(seed, 1))
	began := time.Unix(0, 0)
	now := began
	search := leaderSearch{controls: []string{frozen, successor, "c", "d", "e"}, leader: frozen}
	search.failed(frozen, true, now)
	for now.Sub(began) < giveUp {
		switch target := search.target(now, random.Int()); {
		case target == frozen:
			now = now.Add(searchTimeout)
			search.failed(target, true, now)
		case target == successor && now.Sub(began) >= hintedFor:
			return now.Sub(began)
		default:
			hint := successor
			if now.Sub(began) < hintedFor {
				hint = frozen
			}
			now = now.Add(answerTakes)
			search.failed(target, false, now)
			if search.hinted(hint, now) {
				continue
			}
		}
		now = now.Add(longestPause + firstPause)
	}
	return giveUp
}

// TestLeaderSearchPassesFrozenProcess freezes the leader among five control processes: no
// follower asks the frozen one again while others answer, whatever they say of it, so that all
// of some hundred followers find the next leader within a few questions of its election.
func TestLeaderSearchPassesFrozenProcess(t *testing.T) {
	const electedAfter = 800 * time.Millisecond
	const soon = electedAfter + 1500*time.Millisecond
	for seed := range uint64(2000) {
		if took := searchUntilFound(seed, electedAfter); took > soon {
			t.Fatalf("seed %d: the next leader was found after %s, it was elected after %s", seed, took, electedAfter)
		}
	}
}

// TestLeaderSearchAsksSilentProcessesWhenNoneIsLeft holds that silence is no reason to ask
// nobody, and that it is forgotten.
func TestLeaderSearchAsksSilentProcessesWhenNoneIsLeft(t *testing.T) {
	now := time.Unix(0, 0)
	search := leaderSearch{controls: []string{"a", "b"}}
	search.failed("a", true, now)
	search.failed("b", true, now)
	asked := []string{search.target(now, 0), search.target(now, 1)}
	if !slices.Contains(asked, "a") || !slices.Contains(asked, "b") {
		t.Fatalf("asked %v of two silent processes", asked)
	}
	search.found("b")
	search.failed("b", false, now)
	if target := search.target(now, 0); target != "b" {
		t.Fatalf("asked %q, which is silent, where b has answered", target)
	}
	if search.hinted("a", now) {
		t.Fatal("followed a hint to a silent process")
	}
	later := now.Add(hintIgnoredFor)
	if !search.hinted("a", later) || search.target(later, 0) != "a" {
		t.Fatal("the silence is never forgotten")
	}
}
