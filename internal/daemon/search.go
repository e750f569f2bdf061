package daemon

import "time"

const (
	// unresponsivePeriod is how long a control process whose request timed out is tried only if
	// no other process is left: a machine that is frozen or partitioned stays so for seconds, and
	// each request to it costs discoveryTimeout.
	unresponsivePeriod = 4 * time.Second
	// ignoreRedirectPeriod is how long redirects to an unresponsive process are ignored. The other
	// processes name it as the leader until they have elected a successor, which takes less time.
	ignoreRedirectPeriod = time.Second
	// maxRedirects bounds the redirects followed between two replies from leaders: while
	// processes disagree about the leader, redirects can form a loop.
	maxRedirects = 2
)

// leaderDiscovery selects the control process for the next request. The caller supplies the
// time and the random numbers.
//
// Invariant: a recently unresponsive process is not selected at random while another one is
// left, nor because of a redirect before its successor can have been elected. A follower that
// kept trying it would miss the updates of its successor.
type leaderDiscovery struct {
	// controls are the addresses of the known control processes.
	controls []string
	// leader is the presumed leader, "" if there is none.
	leader string
	// redirects counts the redirects since the last reply from a leader.
	redirects int
	// unresponsiveAt holds the time of the last request timeout by process.
	unresponsiveAt map[string]time.Time
}

// nextTarget returns the process for the next request: the presumed leader, or else one selected
// by random, a non-negative number, among the processes that were not unresponsive recently. It
// returns "" if no process is known.
func (s *leaderDiscovery) nextTarget(now time.Time, random int) string {
	if s.leader != leaderUnknown {
		return s.leader
	}
	candidates := make([]string, 0, len(s.controls))
	for _, control := range s.controls {
		if !s.wasUnresponsiveWithin(unresponsivePeriod, control, now) {
			candidates = append(candidates, control)
		}
	}
	if len(candidates) == 0 {
		candidates = s.controls
	}
	if len(candidates) == 0 {
		return leaderUnknown
	}
	return candidates[random%len(candidates)]
}

// wasUnresponsiveWithin reports whether a request to a process timed out within the last period.
func (s *leaderDiscovery) wasUnresponsiveWithin(period time.Duration, control string, now time.Time) bool {
	at, known := s.unresponsiveAt[control]
	return known && now.Sub(at) < period
}

// recordFailure records that a process did not reply as the leader; unresponsive means that it
// did not reply at all before the timeout.
func (s *leaderDiscovery) recordFailure(control string, unresponsive bool, now time.Time) {
	if s.leader == control {
		s.leader = leaderUnknown
	}
	if !unresponsive {
		return
	}
	if s.unresponsiveAt == nil {
		s.unresponsiveAt = map[string]time.Time{}
	}
	s.unresponsiveAt[control] = now
}

// followRedirect makes the process that another one names the presumed leader. It returns false
// if the redirect is ignored or maxRedirects is exceeded.
func (s *leaderDiscovery) followRedirect(leader string, now time.Time) bool {
	if leader == leaderUnknown || s.wasUnresponsiveWithin(ignoreRedirectPeriod, leader, now) {
		return false
	}
	s.redirects++
	s.leader = leader
	return s.redirects <= maxRedirects
}

// recordLeader records a reply from the leader.
func (s *leaderDiscovery) recordLeader(leader string) {
	s.leader = leader
	s.redirects = 0
	delete(s.unresponsiveAt, leader)
}
