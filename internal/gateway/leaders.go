package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// searchPause is the first pause between rounds of a search for a leader; it grows up
	// to longestSearchPause.
	searchPause        = 20 * time.Millisecond
	longestSearchPause = 160 * time.Millisecond
	// searchTimeout ends a search that nobody may wait for any more.
	searchTimeout = 3 * time.Second
)

// leaderProbe asks a member whether it leads a group; else hint names whom it takes for
// the leader.
type leaderProbe func(ctx context.Context, member string, group uint32) (leads bool, hint string)

// leaders knows the leader of each ledger group. Invariant: however many requests wait
// for a group without a known leader, the gateway searches for it once; otherwise the
// questions of all that wait keep busy the very hosts that are to elect one.
type leaders struct {
	probe leaderProbe
	// members returns where a group is placed.
	members func(group uint32) []string

	mutex    sync.Mutex
	known    map[uint32]string
	searches map[uint32]chan struct{}
}

func newLeaders(members func(group uint32) []string, probe leaderProbe) *leaders {
	return &leaders{probe: probe, members: members, known: map[uint32]string{}, searches: map[uint32]chan struct{}{}}
}

// find returns the leader of a group, "" where none was found before ctx ended.
func (l *leaders) find(ctx context.Context, group uint32) string {
	for ctx.Err() == nil {
		l.mutex.Lock()
		leader := l.known[group]
		search := l.searches[group]
		if leader == "" && search == nil {
			search = make(chan struct{})
			l.searches[group] = search
			go l.search(group, search)
		}
		l.mutex.Unlock()
		if leader != "" {
			return leader
		}
		select {
		case <-search:
		case <-ctx.Done():
		}
	}
	return ""
}

// set takes a member's word for who leads a group.
func (l *leaders) set(group uint32, leader string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.known[group] = leader
}

// lost forgets a leader that did not answer as one, where it is still taken for it.
func (l *leaders) lost(group uint32, leader string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.known[group] == leader {
		delete(l.known, group)
	}
}

// search asks the members of a group until one of them leads it.
func (l *leaders) search(group uint32, done chan struct{}) {
	ctx, cancel := context.WithTimeout(context.Background(), searchTimeout)
	defer cancel()
	found := ""
	for pause := searchPause; found == "" && ctx.Err() == nil; pause = min(2*pause, longestSearchPause) {
		if found = l.askMembers(ctx, group); found != "" {
			break
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause/2 + rand.N(pause)):
		}
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if found != "" {
		l.known[group] = found
	}
	delete(l.searches, group)
	close(done)
}

// askMembers asks each member once, in an order drawn anew, and whoever they take for the
// leader.
func (l *leaders) askMembers(ctx context.Context, group uint32) string {
	members := l.members(group)
	asked := map[string]bool{}
	for _, position := range rand.Perm(len(members)) {
		for member := members[position]; member != "" && !asked[member] && ctx.Err() == nil; {
			asked[member] = true
			leads, hint := l.probe(ctx, member, group)
			if leads {
				return member
			}
			member = hint
		}
	}
	return ""
}
