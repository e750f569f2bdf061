package control

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/joomcode/errorx"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"github.com/ochrebay/ochrebay/internal/config"
	"github.com/ochrebay/ochrebay/internal/membership"
	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/storage"
	"github.com/ochrebay/ochrebay/internal/telemetry"
)

const (
	eventQueue     = 8192
	eventsPerFlush = 512
	drainTimeout   = 5 * time.Second
	dialTimeout    = time.Second
	redialPause    = 200 * time.Millisecond
)

// event is one thing for the control loop; exactly one part is set.
type event struct {
	batch    *protocol.PeerBatch
	hello    *protocol.Hello
	request  any
	reply    func(reply any)
	listed   []membership.Instance
	drain    bool
	inspect  func(core *Core)
	isListed bool
}

// status is the snapshot that traffic goroutines read.
type status struct {
	syncs    uint64
	formed   bool
	ready    bool
	revision uint64
	drained  bool
	leading  int
	programs int
	applied  uint64
}

// Daemon runs a Core over TCP and a disk.
type Daemon struct {
	process config.Process
	logger  log.Logger
	store   *storage.Store
	core    *Core
	monitor *telemetry.Monitor
	server  *protocol.Server
	web     *fasthttp.Server
	events  chan event
	status  atomic.Pointer[status]
	peers   map[string]*peerLink

	// The control loop alone uses these.
	nextRequest RequestID
	replies     map[RequestID]func(reply any)
}

// NewDaemon opens the data folder; it returns storage.ErrInUse where another
// process has it.
func NewDaemon(process config.Process, logger log.Logger) (*Daemon, error) {
	store, err := storage.Open(process.Data.Path)
	if err != nil {
		return nil, err
	}
	daemon := &Daemon{
		process: process, logger: logger, store: store,
		events: make(chan event, eventQueue), peers: map[string]*peerLink{}, replies: map[RequestID]func(reply any){},
	}
	daemon.status.Store(&status{})
	var members []Member
	for _, peer := range process.Cluster.Members {
		members = append(members, Member{Name: peer.Name, Zone: peer.Zone, Address: peer.Address})
		if peer.Name != process.Name {
			daemon.peers[peer.Name] = newPeerLink(peer.Address, daemon.delayTo(peer.Zone))
		}
	}
	options := DefaultOptions(process.Name, members, process.Cluster.LedgerGroups)
	options.LeaseMs = process.Cluster.LeaseMs
	daemon.core, err = NewCore(options, store, daemon, telemetry.NowMs())
	if err != nil {
		_ = store.Close()
		return nil, err
	}
	daemon.monitor = telemetry.NewMonitor(func() bool { return daemon.status.Load().ready })
	daemon.registerMetrics()
	return daemon, nil
}

func (d *Daemon) registerMetrics() {
	d.monitor.Gauge("settings_revision", "Settings revision in force.", func() float64 { return float64(d.status.Load().revision) })
	d.monitor.Gauge("groups_led", "Log groups that this process leads.", func() float64 { return float64(d.status.Load().leading) })
	d.monitor.Gauge("programs", "Program headers held.", func() float64 { return float64(d.status.Load().programs) })
	d.monitor.Gauge("entries_applied", "Log entries applied over all groups.", func() float64 { return float64(d.status.Load().applied) })
	d.monitor.Gauge("store_syncs", "Synced writes to the data folder.", func() float64 { return float64(d.status.Load().syncs) })
}

func (d *Daemon) delayTo(zone string) time.Duration {
	if zone == d.process.Zone {
		return 0
	}
	return time.Duration(d.process.Network.ZoneDelayMs * float64(time.Millisecond))
}

// Run serves until ctx ends, then drains: leadership is handed over first.
func (d *Daemon) Run(ctx context.Context) error {
	defer d.store.Close()
	server, err := protocol.Listen(d.process.Listen.Address, d.handle)
	if err != nil {
		return errorx.Decorate(err, "listening")
	}
	d.server = server
	defer server.Close()
	web, address, err := d.listenWeb()
	if err != nil {
		return err
	}
	defer web()
	telemetry.Info(d.logger, "listening", "address", server.Address(), "http", address, "replica", uint64(d.store.Replica()))
	running, stop := context.WithCancel(context.Background())
	defer stop()
	tasks, taskContext := errgroup.WithContext(running)
	tasks.Go(func() error { return d.loop(taskContext) })
	tasks.Go(func() error { return d.pollPlatform(taskContext) })
	tasks.Go(func() error {
		select {
		case <-ctx.Done():
			d.drain(taskContext)
			stop()
		case <-taskContext.Done():
		}
		return nil
	})
	err = tasks.Wait()
	for _, peer := range d.peers {
		peer.close()
	}
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// drain waits until this process leads nothing, bounded in time.
func (d *Daemon) drain(ctx context.Context) {
	telemetry.Info(d.logger, "draining")
	d.post(event{drain: true})
	deadline := time.Now().Add(drainTimeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		if current := d.status.Load(); !current.formed || current.drained {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (d *Daemon) post(next event) {
	d.events <- next
}

// loop is the one goroutine that owns the core.
func (d *Daemon) loop(ctx context.Context) error {
	ticker := time.NewTicker(time.Duration(d.core.options.TickMs) * time.Millisecond)
	defer ticker.Stop()
	wasFormed := d.core.Formed()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			d.core.Tick(telemetry.NowMs())
		case next := <-d.events:
			d.take(next)
			d.takeWaiting()
		}
		if err := d.core.Flush(); err != nil {
			return errorx.Decorate(err, "writing to the data folder")
		}
		if formed := d.core.Formed(); formed != wasFormed {
			wasFormed = formed
			telemetry.Info(d.logger, "cluster joined", "admitted", d.core.admitted())
		}
		d.publish()
	}
}

// takeWaiting takes the events that have gathered, so that one sync serves them.
func (d *Daemon) takeWaiting() {
	for range eventsPerFlush {
		select {
		case next := <-d.events:
			d.take(next)
		default:
			return
		}
	}
}

func (d *Daemon) take(next event) {
	now := telemetry.NowMs()
	switch {
	case next.batch != nil:
		d.core.Peer(*next.batch, now)
	case next.hello != nil:
		d.core.Hello(*next.hello, now)
	case next.request != nil:
		d.nextRequest++
		d.replies[d.nextRequest] = next.reply
		d.core.Request(d.nextRequest, next.request, now)
	case next.isListed:
		d.core.Listed(next.listed)
	case next.drain:
		d.core.Drain()
	case next.inspect != nil:
		next.inspect(d.core)
	}
}

func (d *Daemon) publish() {
	current := &status{formed: d.core.Formed(), syncs: d.core.Syncs(), ready: d.core.Ready(), revision: d.core.Revision()}
	if current.formed {
		current.drained = d.core.Drained()
		for id := range d.core.host.Groups {
			if d.core.Leads(storage.GroupID(id)) {
				current.leading++
			}
			current.applied += d.core.host.Groups[id].Node.Applied()
			if id > 0 {
				current.programs += d.core.Ledger(storage.GroupID(id)).Len()
			}
		}
	}
	d.status.Store(current)
}

// Send is the core's outlet to other control processes.
func (d *Daemon) Send(member string, kind protocol.Kind, message any) {
	if peer, ok := d.peers[member]; ok {
		peer.send(kind, message)
	}
}

// Reply is the core's outlet to whoever asked. The reply is encoded before it
// returns, since it may share memory with the core's state.
func (d *Daemon) Reply(request RequestID, reply any) {
	answer, ok := d.replies[request]
	if !ok {
		return
	}
	delete(d.replies, request)
	answer(reply)
}

// handle takes a frame from another process.
func (d *Daemon) handle(connection *protocol.Connection, frame protocol.Frame) {
	next := event{}
	message := protocol.NewRequest(frame.Kind)
	switch frame.Kind {
	case protocol.KindPeer:
		next.batch = &protocol.PeerBatch{}
		message = next.batch
	case protocol.KindHello:
		next.hello = &protocol.Hello{}
		message = next.hello
	}
	if message == nil || protocol.Decode(frame.Body, message) != nil {
		connection.Close()
		return
	}
	if next.batch == nil && next.hello == nil {
		next.request = message
		next.reply = func(reply any) {
			_ = connection.Reply(frame.Call, protocol.KindResponse, reply, true)
		}
	}
	d.post(next)
}

// peerLink is the connection to one other control process; it redials by itself.
type peerLink struct {
	address string
	delay   time.Duration
	mutex   sync.Mutex
	current *protocol.Connection
	dialing bool
	closed  bool
}

func newPeerLink(address string, delay time.Duration) *peerLink {
	return &peerLink{address: address, delay: delay}
}

// send drops the message where there is no connection: consensus repeats what
// matters.
func (p *peerLink) send(kind protocol.Kind, message any) {
	p.mutex.Lock()
	connection := p.current
	if connection == nil && !p.dialing && !p.closed {
		p.dialing = true
		go p.dial()
	}
	p.mutex.Unlock()
	if connection != nil {
		_ = connection.Send(kind, message)
	}
}

func (p *peerLink) dial() {
	connection, err := protocol.Dial(p.address, dialTimeout, p.delay)
	if err != nil {
		time.Sleep(redialPause)
	}
	p.mutex.Lock()
	p.dialing = false
	if err == nil && !p.closed {
		p.current = connection
	}
	p.mutex.Unlock()
	if err == nil {
		connection.OnClose(p.forget)
	}
}

func (p *peerLink) forget() {
	p.mutex.Lock()
	p.current = nil
	p.mutex.Unlock()
}

func (p *peerLink) close() {
	p.mutex.Lock()
	p.closed = true
	connection := p.current
	p.mutex.Unlock()
	if connection != nil {
		connection.Close()
	}
}
