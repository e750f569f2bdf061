package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// initialSearchBackoff is the first backoff between rounds of a search for a leader. It
	// doubles with each round up to maxSearchBackoff.
	initialSearchBackoff = 20 * time.Millisecond
	maxSearchBackoff     = 160 * time.Millisecond
	// searchTimeout bounds a search, because the requests that waited for it may have ended.
	searchTimeout = 3 * time.Second
)

// leaderProbe asks a member whether it leads a group. If it does not, hint names the member that
// it considers the leader, "" for none.
type leaderProbe func(ctx context.Context, member string, group uint32) (leads bool, hint string)

// leaderCache caches the leader of each ledger group. Invariant: at most one search for the leader
// of a group runs at a time, however many requests wait for it. Separate probes for each waiting
// request would overload the very hosts that have to elect a leader.
type leaderCache struct {
	probe leaderProbe
	// members returns the members of a group.
	members func(group uint32) []string

	mutex    sync.Mutex
	byGroup  map[uint32]string
	searches map[uint32]chan struct{}
}

func newLeaderCache(members func(group uint32) []string, probe leaderProbe) *leaderCache {
	return &leaderCache{probe: probe, members: members, byGroup: map[uint32]string{}, searches: map[uint32]chan struct{}{}}
}

// find returns the leader of a group, "" if none was found before ctx ended.
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

// set caches the leader that a member of a group has named.
func (l *leaderCache) set(group uint32, leader string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.byGroup[group] = leader
}

// invalidate removes a leader that did not respond or does not lead the group, unless it has been
// replaced in the cache.
func (l *leaderCache) invalidate(group uint32, leader string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.byGroup[group] == leader {
		delete(l.byGroup, group)
	}
}

// search probes the members of a group until one of them leads it or searchTimeout passes.
func (l *leaderCache) search(group uint32, done chan struct{}) {
	ctx, cancel := context.WithTimeout(context.Background(), searchTimeout)
	defer cancel()
	leader := ""
	for backoff := initialSearchBackoff; leader == "" && ctx.Err() == nil; backoff = min(2*backoff, maxSearchBackoff) {
		if leader = l.probeMembers(ctx, group); leader != "" {
			break
		}
		select {
		case <-ctx.Done():
		case <-time.After(backoff/2 + rand.N(backoff)):
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

// probeMembers probes the members of a group in random order until one of them leads it. If a
// probed member names another one as the leader, that one is probed next. No member is probed
// twice.
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
