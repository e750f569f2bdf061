package daemon

import "time"

const (
	// unresponsivePeriod is how long a control process that let a request time out is tried only if
	// no other process is left: a machine that is frozen or partitioned stays so for seconds, and
	// each request to it costs discoveryTimeout.
	unresponsivePeriod = 4 * time.Second
	// ignoreRedirectPeriod is how long redirects to an unresponsive process are ignored. The other
	// processes name it as the leader until they have elected a successor, which takes less time.
	ignoreRedirectPeriod = time.Second
	// maxRedirects bounds the redirects followed without a delay between two replies from leaders:
	// while processes disagree about the leader, redirects can form a loop.
	maxRedirects = 2
)

// leaderDiscovery selects the control process for the next request. The caller supplies the
// time and the random numbers.
//
// Invariant: a process that was unresponsive recently is not selected at random while another
// candidate is left, and redirects to it are ignored until its successor can have been elected. A
// follower that kept trying it would miss the updates of its successor.
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

// nextTarget returns the process for the next request: the presumed leader, or else one of the
// processes that were not unresponsive recently, or one of all processes if there is none, selected
// by the non-negative number random. It returns "" if no process is known.
func (d *leaderDiscovery) nextTarget(now time.Time, random int) string {
	if d.leader != leaderUnknown {
		return d.leader
	}
	candidates := make([]string, 0, len(d.controls))
	for _, control := range d.controls {
		if !d.wasUnresponsiveWithin(unresponsivePeriod, control, now) {
			candidates = append(candidates, control)
		}
	}
	if len(candidates) == 0 {
		candidates = d.controls
	}
	if len(candidates) == 0 {
		return leaderUnknown
	}
	return candidates[random%len(candidates)]
}

// wasUnresponsiveWithin reports whether a request to a process timed out within the last period.
func (d *leaderDiscovery) wasUnresponsiveWithin(period time.Duration, control string, now time.Time) bool {
	at, known := d.unresponsiveAt[control]
	return known && now.Sub(at) < period
}

// recordFailure records that a process did not reply as the leader; unresponsive means that it
// did not reply at all before the timeout.
func (d *leaderDiscovery) recordFailure(control string, unresponsive bool, now time.Time) {
	if d.leader == control {
		d.leader = leaderUnknown
	}
	if !unresponsive {
		return
	}
	if d.unresponsiveAt == nil {
		d.unresponsiveAt = map[string]time.Time{}
	}
	d.unresponsiveAt[control] = now
}

// followRedirect makes leader, the process named in a redirect, the presumed leader. It returns
// false if the redirect is ignored, or is to be followed only after a delay because maxRedirects is
// exceeded.
func (d *leaderDiscovery) followRedirect(leader string, now time.Time) bool {
	if leader == leaderUnknown || d.wasUnresponsiveWithin(ignoreRedirectPeriod, leader, now) {
		return false
	}
	d.redirects++
	d.leader = leader
	return d.redirects <= maxRedirects
}

// recordLeader records a reply from the leader.
func (d *leaderDiscovery) recordLeader(leader string) {
	d.leader = leader
	d.redirects = 0
	delete(d.unresponsiveAt, leader)
}
