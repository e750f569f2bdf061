package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// initialSearchBackoff is the first pause between rounds of a search for a leader; it grows up
	// to longestSearchPause.
	initialSearchBackoff = 20 * time.Millisecond
	maxSearchBackoff     = 160 * time.Millisecond
	// searchTimeout ends a search that nobody may wait for any more.
	searchTimeout = 3 * time.Second
)

// leaderProbe asks a member whether it leads a group; else hint names whom it takes for
// the leader.
type leaderProbe func(ctx context.Context, member string, group uint32) (leads bool, hint string)

// leaderCache knows the leader of each ledger group. Invariant: however many requests wait
// for a group without a known leader, the gateway searches for it once; otherwise the
// questions of all that wait keep busy the very hosts that are to elect one.
type leaderCache struct {
	probe leaderProbe
	// members returns where a group is placed.
	members func(group uint32) []string

	mutex    sync.Mutex
	byGroup  map[uint32]string
	searches map[uint32]chan struct{}
}

func newLeaderCache(members func(group uint32) []string, probe leaderProbe) *leaderCache {
	return &leaderCache{probe: probe, members: members, byGroup: map[uint32]string{}, searches: map[uint32]chan struct{}{}}
}

// find returns the leader of a group, "" where none was found before ctx ended.
func (l *leaderCache) find(ctx context.Context, group uint32) string {
	for ctx.Err() == nil {
		l.mutex.Lock()
		leader := l.byGroup[group]
		searchDone := l.searches[group]
		if leader == "" && searchDone == nil {
			searchDone = make(chan struct{})
			l.searches[group] = searchDone
			go l.search(group, searchDone)
		}
		l.mutex.Unlock()
		if leader != "" {
			return leader
		}
		select {
		case <-searchDone:
		case <-ctx.Done():
		}
	}
	return ""
}

// set takes a member's word for who leads a group.
func (l *leaderCache) set(group uint32, leader string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.byGroup[group] = leader
}

// invalidate forgets a leader that did not answer as one, where it is still taken for it.
func (l *leaderCache) invalidate(group uint32, leader string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.byGroup[group] == leader {
		delete(l.byGroup, group)
	}
}

// search asks the members of a group until one of them leads it.
func (l *leaderCache) search(group uint32, done chan struct{}) {
	ctx, cancel := context.WithTimeout(context.Background(), searchTimeout)
	defer cancel()
	leader := ""
	for pause := initialSearchBackoff; leader == "" && ctx.Err() == nil; pause = min(2*pause, maxSearchBackoff) {
		if leader = l.probeMembers(ctx, group); leader != "" {
			break
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause/2 + rand.N(pause)):
		}
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if leader != "" {
		l.byGroup[group] = leader
	}
	delete(l.searches, group)
	close(done)
}

// probeMembers asks each member once, in an order drawn anew, and whoever they take for the
// leader.
func (l *leaderCache) probeMembers(ctx context.Context, group uint32) string {
	members := l.members(group)
	probed := map[string]bool{}
	for _, index := range rand.Perm(len(members)) {
		for member := members[index]; member != "" && !probed[member] && ctx.Err() == nil; {
			probed[member] = true
			leads, hint := l.probe(ctx, member, group)
			if leads {
				return member
			}
			member = hint
		}
	}
	return ""
}
