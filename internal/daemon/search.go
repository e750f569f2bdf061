package daemon

import "time"

const (
	// silentFor is how long a control process that let a question run out of time is asked only
	// where no other is left: a machine that is frozen or cut off stays so for seconds, and each
	// question to it costs searchTimeout.
	silentFor = 4 * time.Second
	// hintIgnoredFor is how long a hint to a silent process is not followed: the others name it
	// until they have elected a successor, which takes less.
	hintIgnoredFor = time.Second
	// maxRedirects bounds the hints followed between two answers of leaders: while processes
	// disagree, hints lead in circles.
	maxRedirects = 2
)

// leaderSearch chooses which control process to ask next. It has no clock and no random source.
//
// Invariant: a process that was silent lately is not asked at random while another is left, and
// not for a hint before its successor can be elected: a follower that kept asking it would miss
// what the successor puts in force.
type leaderSearch struct {
	// controls are the processes known.
	controls []string
	// leader is the process taken for the leader, "" where none is.
	leader string
	// redirects counts the hints followed since the last answer of a leader.
	redirects int
	// silent are the processes that let a question run out of time, with when.
	silent map[string]time.Time
}

// target returns the process to ask: the leader where it is known, else one that draw, at least
// 0, picks among those that were not silent lately; "" where no process is known.
func (s *leaderSearch) target(now time.Time, draw int) string {
	if s.leader != leaderUnknown {
		return s.leader
	}
	candidates := make([]string, 0, len(s.controls))
	for _, control := range s.controls {
		if !s.silentWithin(silentFor, control, now) {
			candidates = append(candidates, control)
		}
	}
	if len(candidates) == 0 {
		candidates = s.controls
	}
	if len(candidates) == 0 {
		return leaderUnknown
	}
	return candidates[draw%len(candidates)]
}

// silentWithin reports whether a process let a question run out of time within a span.
func (s *leaderSearch) silentWithin(span time.Duration, control string, now time.Time) bool {
	since, known := s.silent[control]
	return known && now.Sub(since) < span
}

// failed notes that a process did not answer as the leader; silent says that it did not answer
// at all within its time.
func (s *leaderSearch) failed(control string, silent bool, now time.Time) {
	if s.leader == control {
		s.leader = leaderUnknown
	}
	if !silent {
		return
	}
	if s.silent == nil {
		s.silent = map[string]time.Time{}
	}
	s.silent[control] = now
}

// hinted takes the leader that another process names; false where the hint is not followed.
func (s *leaderSearch) hinted(leader string, now time.Time) bool {
	if leader == leaderUnknown || s.silentWithin(hintIgnoredFor, leader, now) {
		return false
	}
	s.redirects++
	s.leader = leader
	return s.redirects <= maxRedirects
}

// found notes the answer of a leader.
func (s *leaderSearch) found(leader string) {
	s.leader = leader
	s.redirects = 0
	delete(s.silent, leader)
}
