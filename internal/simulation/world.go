// Package simulation runs the daemons' own cores in virtual time, with simulated
// network, disks, clocks, engines, callers and operators, brings failures about
// and checks from outside what must always hold (brief, "What must always hold"
// and "What fails"). The same seed gives the same run.
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
	// epochMs is the wall clock at the start of a run, in milliseconds.
	epochMs = 1_700_000_000_000
)

// event is one thing that happens at a virtual time.
type event struct {
	atUs  int64
	order uint64
	label string
	run   func()
}

type eventHeap []*event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(a, b int) bool {
	if h[a].atUs != h[b].atUs {
		return h[a].atUs < h[b].atUs
	}
	return h[a].order < h[b].order
}
func (h eventHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(*event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// world is one run.
type world struct {
	options    Options
	deployment workload.Deployment
	seed       uint64
	random     *rand.Rand
	nowUs      int64
	events     eventHeap
	order      uint64
	handled    int64
	digest     *xxhash.Digest
	story      []string

	network    *network
	controls   []*controlNode
	schedulers []*schedulerNode
	sidecars   []*sidecarNode
	engines    []*engineNode
	byName     map[string]*process
	platform   *platform
	weightsUs  int64
	callers    []*caller
	operators  []*operator
	checks     *checks

	faultsApplied int

	calm     bool
	calmAtUs int64
	quiet    bool
}

func newWorld(options Options, deployment workload.Deployment, seed uint64) *world {
	w := &world{
		options: options, deployment: deployment, seed: seed,
		random: rand.New(rand.NewPCG(seed, 0x73696d)), digest: xxhash.New(), byName: map[string]*process{},
	}
	w.network = newNetwork(w)
	w.checks = newChecks(w)
	return w
}

// after runs something once a virtual time has passed.
func (w *world) after(delayUs int64, label string, run func()) {
	w.order++
	heap.Push(&w.events, &event{atUs: w.nowUs + max(0, delayUs), order: w.order, label: label, run: run})
}

// runUntil handles events up to a time or until done reports true.
func (w *world) runUntil(untilUs int64, done func() bool) {
	for len(w.events) > 0 && w.events[0].atUs <= untilUs && !w.checks.failed() {
		next := heap.Pop(&w.events).(*event)
		w.nowUs = next.atUs
		w.handled++
		w.stamp(next.label)
		next.run()
		if done != nil && w.handled%64 == 0 && done() {
			return
		}
	}
	if !w.checks.failed() && (done == nil || !done()) {
		w.nowUs = max(w.nowUs, untilUs)
	}
}

// stamp adds an event to the run's digest.
func (w *world) stamp(label string) {
	var buffer [8]byte
	binary.LittleEndian.PutUint64(buffer[:], uint64(w.nowUs))
	_, _ = w.digest.Write(buffer[:])
	_, _ = w.digest.WriteString(label)
}

// tell adds a line to the story of the run, where one is wanted.
func (w *world) tell(format string, arguments ...any) {
	if w.options.Story {
		w.story = append(w.story, fmt.Sprintf("%9.3f s  %s", float64(w.nowUs)/1e6, fmt.Sprintf(format, arguments...)))
	}
}

// between draws a whole number from low to high, both included.
func (w *world) between(low, high int64) int64 {
	if high <= low {
		return low
	}
	return low + w.random.Int64N(high-low+1)
}

func (w *world) chance(probability float64) bool { return w.random.Float64() < probability }

// process is what all simulated processes have in common.
type process struct {
	world *world
	name  string
	zone  string
	alive bool
	// life numbers the starts of the process.
	life   int
	frozen bool
	// inbox holds what arrived while the process was frozen.
	inbox []arrival
	// offsetMs and drift are the machine's clock against the world's.
	offsetMs int64
	drift    float64
	// pending are requests that others have open here; a death tells them.
	pending map[uint64]*openRequest
	nextID  uint64
	start   func()
	stopped func()
}

// arrival is a message that has reached a process's machine; lost tells its
// sender that the process died without reading it.
type arrival struct {
	run  func()
	lost func()
}

// openRequest is one request under way at a process.
type openRequest struct {
	from     *process
	fromLife int
	lost     func()
}

func (w *world) newProcess(name, zone string) *process {
	p := &process{world: w, name: name, zone: zone, pending: map[uint64]*openRequest{}}
	w.byName[name] = p
	return p
}

// nowMs is the machine's own clock.
func (p *process) nowMs() int64 {
	return epochMs + p.offsetMs + int64(float64(p.world.nowUs)*(1+p.drift))/microsPerMilli
}

// every runs something again and again while the process lives.
func (p *process) every(periodUs int64, label string, run func()) {
	life := p.life
	var again func()
	again = func() {
		if !p.alive || p.life != life {
			return
		}
		p.do(run)
		p.world.after(periodUs, label, again)
	}
	p.world.after(p.world.between(0, periodUs), label, again)
}

// do runs something in the process; a frozen one does it when it thaws. Ticks
// that were missed are made up for by one.
func (p *process) do(run func()) {
	if p.frozen {
		return
	}
	run()
}

// receive hands a message to the process.
func (p *process) receive(run func()) { p.receiveOr(run, nil) }

// receiveOr is receive for a message whose sender must hear of its loss.
func (p *process) receiveOr(run, lost func()) {
	if p.frozen {
		p.inbox = append(p.inbox, arrival{run: run, lost: lost})
		return
	}
	run()
}

func (p *process) freeze() { p.frozen = true }

func (p *process) thaw() {
	if !p.frozen {
		return
	}
	p.frozen = false
	life := p.life
	waiting := p.inbox
	p.inbox = nil
	for _, message := range waiting {
		if !p.alive || p.life != life {
			return
		}
		message.run()
	}
}

// open notes a request from another process and returns its number.
func (p *process) open(from *process, lost func()) uint64 {
	p.nextID++
	p.pending[p.nextID] = &openRequest{from: from, fromLife: from.life, lost: lost}
	return p.nextID
}

// kill ends the process at once; those who wait for it hear of it, unless the
// whole machine went in silence.
func (p *process) kill(silent bool) {
	if !p.alive {
		return
	}
	p.alive = false
	p.frozen = false
	unread := p.inbox
	p.inbox = nil
	if p.stopped != nil {
		p.stopped()
	}
	lost := p.pending
	p.pending = map[uint64]*openRequest{}
	if silent {
		return
	}
	for _, message := range unread {
		if message.lost != nil {
			message.lost()
		}
	}
	for id := uint64(1); id <= p.nextID; id++ {
		request, ok := lost[id]
		if !ok {
			continue
		}
		p.world.network.send(p, request.from, request.fromLife, "reset", request.lost, nil)
	}
}

func (p *process) restart() {
	if p.alive {
		return
	}
	p.life++
	p.alive = true
	p.start()
}
