// Package simulation runs the production cores of the daemons in virtual time
// against a simulated network and simulated disks, clocks, engines, callers and
// operators. It injects faults and checks from outside the cores the invariants of
// the requirements (the brief's sections "What must always hold" and "What fails").
// A run is deterministic: the same seed reproduces the same run.
package simulation

import (
	"container/heap"
	"encoding/binary"
	"fmt"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	"github.com/ochrebay/ochrebay/internal/workload"
)

const (
	microsPerMilli = 1000
	// epochMs is the wall-clock time at the start of a run, in Unix milliseconds.
	epochMs = 1_700_000_000_000
)

// event is a function scheduled at a virtual time. Events at the same time run in the
// order in which they were scheduled.
type event struct {
	atUs     int64
	sequence uint64
	label    string
	run      func()
}

type eventHeap []*event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(a, b int) bool {
	if h[a].atUs != h[b].atUs {
		return h[a].atUs < h[b].atUs
	}
	return h[a].sequence < h[b].sequence
}
func (h eventHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(*event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// world is the state of one simulation run.
type world struct {
	options       Options
	deployment    workload.Deployment
	seed          uint64
	random        *rand.Rand
	nowUs         int64
	events        eventHeap
	lastSequence  uint64
	handledEvents int64
	digest        *xxhash.Digest
	trace         []string

	network           *network
	controls          []*controlNode
	schedulers        []*schedulerNode
	sidecars          []*sidecarNode
	engines           []*engineNode
	processByName     map[string]*process
	platform          *platform
	weightStoreFreeUs int64
	callers           []*caller
	operators         []*operator
	checks            *checks

	appliedFaults int

	haveFaultsEnded bool
	faultsEndedUs   int64
	isQuiescent     bool
}

func newWorld(options Options, deployment workload.Deployment, seed uint64) *world {
	w := &world{
		options: options, deployment: deployment, seed: seed,
		random: rand.New(rand.NewPCG(seed, 0x73696d)), digest: xxhash.New(), processByName: map[string]*process{},
	}
	w.network = newNetwork(w)
	w.checks = newChecks(w)
	return w
}

// after schedules run once delayUs of virtual time have passed; a negative delay counts as zero.
func (w *world) after(delayUs int64, label string, run func()) {
	w.lastSequence++
	heap.Push(&w.events, &event{atUs: w.nowUs + max(0, delayUs), sequence: w.lastSequence, label: label, run: run})
}

// runUntil handles events up to the time untilUs. It stops earlier after a violation
// and when done, where set, reports true; done is evaluated after every 64th event.
func (w *world) runUntil(untilUs int64, done func() bool) {
	for len(w.events) > 0 && w.events[0].atUs <= untilUs && !w.checks.hasViolations() {
		next := heap.Pop(&w.events).(*event)
		w.nowUs = next.atUs
		w.handledEvents++
		w.addToDigest(next.label)
		next.run()
		if done != nil && w.handledEvents%64 == 0 && done() {
			return
		}
	}
	if !w.checks.hasViolations() && (done == nil || !done()) {
		w.nowUs = max(w.nowUs, untilUs)
	}
}

// addToDigest adds the time and the label of an event to the digest of the run.
func (w *world) addToDigest(label string) {
	var buffer [8]byte
	binary.LittleEndian.PutUint64(buffer[:], uint64(w.nowUs))
	_, _ = w.digest.Write(buffer[:])
	_, _ = w.digest.WriteString(label)
}

// tracef appends a line to the trace if the options ask for one.
func (w *world) tracef(format string, arguments ...any) {
	if w.options.RecordTrace {
		w.trace = append(w.trace, fmt.Sprintf("%9.3f s  %s", float64(w.nowUs)/1e6, fmt.Sprintf(format, arguments...)))
	}
}

// randomBetween returns a random integer between low and high, both included.
func (w *world) randomBetween(low, high int64) int64 {
	if high <= low {
		return low
	}
	return low + w.random.Int64N(high-low+1)
}

func (w *world) randomBool(probability float64) bool { return w.random.Float64() < probability }

// process is the part that all simulated processes share.
type process struct {
	world   *world
	name    string
	zone    string
	isAlive bool
	// incarnation counts the starts of the process.
	incarnation int
	isFrozen    bool
	// inbox holds the messages that arrived while the process was frozen.
	inbox []queuedMessage
	// offsetMs and drift are the offset and the relative rate error of the clock of
	// the machine against virtual time.
	offsetMs int64
	drift    float64
	// openRequests are the requests of other processes that this process has not
	// answered yet; their senders are notified if the process dies.
	openRequests  map[uint64]*openRequest
	lastRequestID uint64
	onStart       func()
	onStop        func()
}

// queuedMessage is a message that has reached the machine of a process. onLost, where
// set, reports to the sender that the process died without reading it.
type queuedMessage struct {
	handle func()
	onLost func()
}

// openRequest is a request in progress at a process.
type openRequest struct {
	sender            *process
	senderIncarnation int
	onLost            func()
}

func (w *world) newProcess(name, zone string) *process {
	p := &process{world: w, name: name, zone: zone, openRequests: map[uint64]*openRequest{}}
	w.processByName[name] = p
	return p
}

// nowMs returns the time of the clock of the machine, in Unix milliseconds.
func (p *process) nowMs() int64 {
	return epochMs + p.offsetMs + int64(float64(p.world.nowUs)*(1+p.drift))/microsPerMilli
}

// runPeriodically runs run every periodUs until this incarnation of the process ends.
// The first run comes after a random part of the period.
func (p *process) runPeriodically(periodUs int64, label string, run func()) {
	incarnation := p.incarnation
	var again func()
	again = func() {
		if !p.isAlive || p.incarnation != incarnation {
			return
		}
		p.runUnlessFrozen(run)
		p.world.after(periodUs, label, again)
	}
	p.world.after(p.world.randomBetween(0, periodUs), label, again)
}

// runUnlessFrozen runs run in the process. A frozen process skips it: the next
// periodic run after the thaw stands in for all that were missed.
func (p *process) runUnlessFrozen(run func()) {
	if p.isFrozen {
		return
	}
	run()
}

// receive delivers a message to the process.
func (p *process) receive(run func()) { p.receiveOrReportLoss(run, nil) }

// receiveOrReportLoss is receive for a message whose sender must be notified by lost if
// the process dies before it reads the message.
func (p *process) receiveOrReportLoss(run, lost func()) {
	if p.isFrozen {
		p.inbox = append(p.inbox, queuedMessage{handle: run, onLost: lost})
		return
	}
	run()
}

func (p *process) freeze() { p.isFrozen = true }

func (p *process) thaw() {
	if !p.isFrozen {
		return
	}
	p.isFrozen = false
	incarnation := p.incarnation
	waiting := p.inbox
	p.inbox = nil
	for _, message := range waiting {
		if !p.isAlive || p.incarnation != incarnation {
			return
		}
		message.handle()
	}
}

// trackRequest records a request from another process as open and returns its number.
func (p *process) trackRequest(from *process, lost func()) uint64 {
	p.lastRequestID++
	p.openRequests[p.lastRequestID] = &openRequest{sender: from, senderIncarnation: from.incarnation, onLost: lost}
	return p.lastRequestID
}

// kill ends the process at once. The senders of its open requests and unread messages
// are notified, unless silent is set, as when the whole machine disappears.
func (p *process) kill(silent bool) {
	if !p.isAlive {
		return
	}
	p.isAlive = false
	p.isFrozen = false
	unread := p.inbox
	p.inbox = nil
	if p.onStop != nil {
		p.onStop()
	}
	lost := p.openRequests
	p.openRequests = map[uint64]*openRequest{}
	if silent {
		return
	}
	for _, message := range unread {
		if message.onLost != nil {
			message.onLost()
		}
	}
	for id := uint64(1); id <= p.lastRequestID; id++ {
		request, ok := lost[id]
		if !ok {
			continue
		}
		p.world.network.send(p, request.sender, request.senderIncarnation, "reset", request.onLost, nil)
	}
}

func (p *process) restart() {
	if p.isAlive {
		return
	}
	p.incarnation++
	p.isAlive = true
	p.onStart()
}
