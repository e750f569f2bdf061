package daemon

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// simulateLeaderDiscovery simulates, in virtual time, the discovery of a new leader after the
// machine of the previous one froze, and returns how long it takes. The other processes redirect
// to the frozen one for staleRedirectsFor.
func simulateLeaderDiscovery(seed uint64, staleRedirectsFor time.Duration) time.Duration {
	const (
		frozen, successor = "a", "b"
		responseTime      = 5 * time.Millisecond
		searchLimit       = time.Minute
	)
	random := rand.New(rand.NewPCG(seed, 1))
	startedAt := time.Unix(0, 0)
	now := startedAt
	discovery := leaderDiscovery{controls: []string{frozen, successor, "c", "d", "e"}, leader: frozen}
	discovery.recordFailure(frozen, true, now)
	for now.Sub(startedAt) < searchLimit {
		switch target := discovery.nextTarget(now, random.Int()); {
		case target == frozen:
			now = now.Add(discoveryTimeout)
			discovery.recordFailure(target, true, now)
		case target == successor && now.Sub(startedAt) >= staleRedirectsFor:
			return now.Sub(startedAt)
		default:
			redirect := successor
			if now.Sub(startedAt) < staleRedirectsFor {
				redirect = frozen
			}
			now = now.Add(responseTime)
			discovery.recordFailure(target, false, now)
			if discovery.followRedirect(redirect, now) {
				continue
			}
		}
		now = now.Add(maxRetryDelay + minRetryDelay)
	}
	return searchLimit
}

// TestLeaderDiscoverySkipsFrozenProcess freezes the leader among five control processes; the others
// redirect to it until they have elected a successor. It checks that a follower finds the successor
// within a few requests after its election, so that all of some hundred followers do. A follower
// that kept trying the frozen process would take longer.
func TestLeaderDiscoverySkipsFrozenProcess(t *testing.T) {
	const electedAfter = 800 * time.Millisecond
	const foundWithin = electedAfter + 1500*time.Millisecond
	for seed := range uint64(2000) {
		if took := simulateLeaderDiscovery(seed, electedAfter); took > foundWithin {
			t.Fatalf("seed %d: the next leader was found after %s although it was elected after %s", seed, took, electedAfter)
		}
	}
}

// TestLeaderDiscoveryFallsBackToUnresponsiveProcesses checks that unresponsive processes are tried
// if no other process is left, and that redirects to them are followed again after a while.
func TestLeaderDiscoveryFallsBackToUnresponsiveProcesses(t *testing.T) {
	now := time.Unix(0, 0)
	discovery := leaderDiscovery{controls: []string{"a", "b"}}
	discovery.recordFailure("a", true, now)
	discovery.recordFailure("b", true, now)
	targets := []string{discovery.nextTarget(now, 0), discovery.nextTarget(now, 1)}
	if !slices.Contains(targets, "a") || !slices.Contains(targets, "b") {
		t.Fatalf("requests went to %v, not to both unresponsive processes", targets)
	}
	discovery.recordLeader("b")
	discovery.recordFailure("b", false, now)
	if target := discovery.nextTarget(now, 0); target != "b" {
		t.Fatalf("the next target is %q, which is unresponsive, although b has replied", target)
	}
	if discovery.followRedirect("a", now) {
		t.Fatal("followed a redirect to an unresponsive process")
	}
	later := now.Add(ignoreRedirectPeriod)
	if !discovery.followRedirect("a", later) || discovery.nextTarget(later, 0) != "a" {
		t.Fatal("redirects to an unresponsive process stay ignored")
	}
}
