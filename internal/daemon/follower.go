package daemon

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"github.com/ochrebay/ochrebay/internal/admission"
	"github.com/ochrebay/ochrebay/internal/membership"
	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/result"
	"github.com/ochrebay/ochrebay/internal/routing"
	"github.com/ochrebay/ochrebay/internal/scheduling"
	"github.com/ochrebay/ochrebay/internal/telemetry"
)

const (
	syncHold    = 700 * time.Millisecond
	syncTimeout = 1500 * time.Millisecond
	// searchTimeout bounds a question to a process that has not answered as the leader yet. It
	// is not held there, so that an answer takes a round of the quorum, some milliseconds; the
	// rest is for a process whose share of the processor is used up.
	searchTimeout = 500 * time.Millisecond
	// proofDue is from when on a proof is asked for without waiting for news: just above the
	// age that the rhythm of held heartbeats gives, two of them one after the other.
	proofDue = 2*syncHold + 100*time.Millisecond
	// loadsEvery is how often loads are asked for at most: well below the 1.5 s in which what
	// is seen of an engine loses half of its weight. An answer holds an entry for each engine.
	loadsEvery = 600 * time.Millisecond
	// pausedFrom is how much later than due a timeout shows that this process stood still itself,
	// so that it says nothing of the process asked.
	pausedFrom    = 200 * time.Millisecond
	firstPause    = 20 * time.Millisecond
	longestPause  = 120 * time.Millisecond
	leaderUnknown = ""
)

// Follower keeps a process in step with control: it reports to the leader of the
// settings group and takes its news of fleet and routing table.
type Follower struct {
	// Seeds are the inner addresses of control processes to ask first.
	Seeds []string
	// FillReport fills in what the process says of itself.
	FillReport func(request *protocol.FleetSync)
	// WithRouting asks for the routing table too.
	WithRouting bool
	// OnUpdate takes a new view or table. Invariant: nothing is handed on before a quorum has
	// confirmed news since the process started.
	OnUpdate func(view *membership.FleetView, table *routing.Table)
	// OnEngineLoads takes what all gateways together have seen of engines, and those at which
	// requests of several of them fail; nil where nobody asks.
	OnEngineLoads func(loads []scheduling.EngineLoad, failing []string)
	// OnEngineUsages takes what all gateways together know of the engines' use; nil where nobody asks.
	OnEngineUsages func(usages []scheduling.EngineUsage)
	// OnStreamLateness takes what all gateways together have seen of streams; nil where nobody asks.
	OnStreamLateness func(shares []scheduling.StreamLateness)
	// OnBackendUsages takes what all gateways' tenants together use of back ends; nil where nobody asks.
	OnBackendUsages func(uses []admission.BackendUsage)
	Logger          log.Logger

	// proved is the latest proof.
	proved atomic.Pointer[proof]

	caller *Client
	mutex  sync.Mutex
	search leaderSearch
	// told is the digest of the control processes that the leader last named.
	told uint64
	// answering is the leader whose answer came last, "" once it is lost.
	answering string
	view      *membership.FleetView
	table     *routing.Table
	confirmed bool
	// loadsAt is when the last loads came; the goroutine of Run alone uses it.
	loadsAt time.Time
	// poke ends the held heartbeat, so that a changed report is told at once.
	poke chan struct{}
}

// proof says that no table newer than the one held had been acknowledged at a time.
type proof struct {
	// askedAt is when the question left whose answer is the proof, zero before the first.
	askedAt time.Time
	// next is closed once the next proof has come.
	next chan struct{}
}

// NewFollower returns a follower that has heard nothing.
func NewFollower(seeds []string, logger log.Logger) *Follower {
	follower := &Follower{Seeds: seeds, Logger: logger, caller: NewClient(), search: leaderSearch{controls: slices.Clone(seeds)}, poke: make(chan struct{}, 1)}
	follower.proved.Store(&proof{next: make(chan struct{})})
	return follower
}

// SetSeeds takes the seeds of a settings file that has changed.
func (f *Follower) SetSeeds(seeds []string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.Seeds = seeds
	for _, seed := range seeds {
		if !slices.Contains(f.search.controls, seed) {
			f.search.controls = append(f.search.controls, seed)
		}
	}
}

// SyncNow makes the follower report again at once.
func (f *Follower) SyncNow() {
	select {
	case f.poke <- struct{}{}:
	default:
	}
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	defer f.caller.Close()
	pause := firstPause
	for ctx.Err() == nil {
		target := f.target()
		if f.syncOnce(ctx, target) {
			pause = firstPause
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause + rand.N(firstPause)):
		}
		pause = min(2*pause, longestPause)
	}
	return ctx.Err()
}

// target is the process to ask next.
func (f *Follower) target() string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.search.target(time.Now(), rand.Int())
}

// failed notes that a process did not answer as the leader; silent says that it did not answer
// within its time.
func (f *Follower) failed(target string, silent bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if target == leaderUnknown {
		return
	}
	if f.answering == target {
		telemetry.Warn(f.Logger, "control leader lost", "leader", target, "silent", silent)
		f.answering = leaderUnknown
	}
	f.search.failed(target, silent, time.Now())
}

// proven reports whether a process was the last to answer as the leader.
func (f *Follower) proven(target string) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.answering == target
}

// syncOnce reports once and takes the answer; false where the target is no leader.
func (f *Follower) syncOnce(ctx context.Context, target string) bool {
	if target == leaderUnknown {
		return false
	}
	asked := time.Now()
	request := f.request()
	within := syncTimeout
	if !f.proven(target) {
		request.LongPollMs = 0
		within = searchTimeout
	}
	bounded, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	go f.endOnPoke(bounded, cancel)
	var reply protocol.FleetSyncReply
	err := f.caller.Call(bounded, target, protocol.KindFleetSync, request, &reply)
	switch {
	case err != nil && bounded.Err() == context.Canceled && ctx.Err() == nil:
		return true
	case err != nil:
		f.caller.Disconnect(target)
		f.failed(target, bounded.Err() != nil && time.Since(asked) < within+pausedFrom)
		return false
	case reply.Error != nil:
		f.failed(target, false)
		return f.redirected(&reply)
	}
	f.take(target, &reply)
	f.noteProof(asked, &reply)
	if f.OnStreamLateness != nil && len(reply.StreamLateness) > 0 {
		f.OnStreamLateness(reply.StreamLateness)
	}
	if f.OnBackendUsages != nil && reply.BackendUsages != nil {
		f.OnBackendUsages(reply.BackendUsages.Value)
	}
	if f.OnEngineLoads != nil && reply.EngineLoads != nil {
		f.loadsAt = time.Now()
		f.OnEngineLoads(reply.EngineLoads.Value, reply.FailingEngines)
		if f.OnEngineUsages != nil && reply.EngineUsages != nil {
			f.OnEngineUsages(reply.EngineUsages.Value)
		}
	}
	return true
}

// noteProof remembers that no table newer than the one held had been acknowledged when the
// question left. Invariant: it runs after the table that came with the answer is in force,
// and a difference that did not fit proves nothing.
func (f *Follower) noteProof(asked time.Time, reply *protocol.FleetSyncReply) {
	if !reply.IsConfirmed || !f.WithRouting {
		return
	}
	f.mutex.Lock()
	generation := uint64(0)
	if f.table != nil {
		generation = f.table.Generation
	}
	f.mutex.Unlock()
	if reply.Routing != nil && reply.Routing.Value.Generation > generation {
		return
	}
	previous := f.proved.Swap(&proof{askedAt: asked, next: make(chan struct{})})
	close(previous.next)
}

// NextConfirmation returns a channel that is closed once a proof has come after the latest.
func (f *Follower) NextConfirmation() <-chan struct{} { return f.proved.Load().next }

// ConfirmationAge returns how long ago the table held was surely the newest that was acknowledged;
// false where that was never so. It goes by the steady clock from before the question, so
// that neither the way nor a pause of this process makes a proof look younger.
func (f *Follower) ConfirmationAge() (time.Duration, bool) {
	asked := f.proved.Load().askedAt
	if asked.IsZero() {
		return 0, false
	}
	return time.Since(asked), true
}

func (f *Follower) endOnPoke(ctx context.Context, cancel context.CancelFunc) {
	select {
	case <-f.poke:
		cancel()
	case <-ctx.Done():
	}
}

func (f *Follower) request() *protocol.FleetSync {
	f.mutex.Lock()
	request := &protocol.FleetSync{LongPollMs: syncHold.Milliseconds(), WithRouting: f.WithRouting, ConfirmNow: !f.confirmed, ControlsDigest: f.told}
	request.WithLoads = f.OnEngineLoads != nil && time.Since(f.loadsAt) >= loadsEvery
	if f.view != nil {
		request.FleetVersion = f.view.Version
	}
	if f.table != nil {
		request.RoutingGeneration = f.table.Generation
		request.ConfirmLeadership = f.table.RequiresKey
	}
	if age, known := f.ConfirmationAge(); request.ConfirmLeadership && (!known || age > proofDue) {
		request.LongPollMs = 0
	}
	f.mutex.Unlock()
	f.FillReport(request)
	return request
}

// redirected follows the hint of a process that does not lead.
func (f *Follower) redirected(reply *protocol.FleetSyncReply) bool {
	if reply.Error.Code != result.NotLeader {
		return false
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.search.hinted(reply.Leader, time.Now())
}

// take puts the news in force. Invariant: neither fleet nor table ever steps back
// within the life of the process.
func (f *Follower) take(target string, reply *protocol.FleetSyncReply) {
	f.mutex.Lock()
	if f.answering != target {
		telemetry.Info(f.Logger, "control leader found", "leader", target)
	}
	f.answering = target
	f.search.found(target)
	if len(reply.ControlAddresses) > 0 {
		f.told = protocol.ControlsDigest(reply.ControlAddresses)
		f.search.controls = slices.Clone(reply.ControlAddresses)
		for _, seed := range f.Seeds {
			if !slices.Contains(f.search.controls, seed) {
				f.search.controls = append(f.search.controls, seed)
			}
		}
	}
	changed := false
	if reply.Fleet != nil {
		var news bool
		f.view, news = f.view.ApplyDelta(reply.Fleet.Value)
		changed = changed || news
	}
	if reply.Routing != nil {
		var news bool
		f.table, news = reply.Routing.Value.Apply(f.table)
		changed = changed || news
	}
	if reply.IsConfirmed && !f.confirmed {
		f.confirmed = true
		changed = true
	}
	view, table, confirmed := f.view, f.table, f.confirmed
	f.mutex.Unlock()
	if changed && confirmed {
		f.OnUpdate(view, table)
	}
}
