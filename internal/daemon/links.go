package daemon

import (
	"sync"
	"time"

	"github.com/ochrebay/ochrebay/internal/protocol"
)

const (
	// dialTimeout is short so that a new attempt follows soon: a machine without power sends no
	// reply, and when the kernel retransmits the SYN, after a second, the machine may long have
	// been reachable again.
	dialTimeout = 300 * time.Millisecond
	redialDelay = 50 * time.Millisecond
	// maxPendingMessages and maxPendingBytes bound the messages that are queued for a peer
	// while its connection is being established.
	maxPendingMessages = 64
	maxPendingBytes    = 1 << 20
)

// pendingMessage is an encoded message queued until its connection is established.
type pendingMessage struct {
	kind protocol.Kind
	body []byte
}

// Links sends one-way messages to other processes. It dials their connections on demand
// and redials those that have ended.
type Links struct {
	mutex sync.Mutex
	links map[linkKey]*link
	// address returns the IP:port of a member, delay the latency to add to its connection.
	address func(member string) string
	delay   func(member string) time.Duration
	closed  bool
}

// linkKey identifies one of the connections to a member. Bulk messages, which may arrive late and
// out of order, have a connection of their own. Invariant: heartbeats, votes and entries are never
// queued behind them on a congested link.
type linkKey struct {
	member string
	bulk   bool
}

// NewLinks returns links to members. address resolves a member to IP:port; delay returns the
// latency to add to its connection, which emulates the distance between zones.
func NewLinks(address func(member string) string, delay func(member string) time.Duration) *Links {
	return &Links{links: map[linkKey]*link{}, address: address, delay: delay}
}

// Send sends a message. While a connection is being established, a few messages are queued
// for it, because the first vote of a process that has just started must not be lost. A
// message that can't be sent is dropped; consensus retransmits those that matter.
func (l *Links) Send(member string, kind protocol.Kind, message any) {
	l.send(linkKey{member: member}, kind, message)
}

// SendBulk is like Send but uses a separate connection. It is for messages that may arrive
// late and must not delay others.
func (l *Links) SendBulk(member string, kind protocol.Kind, message any) {
	l.send(linkKey{member: member, bulk: true}, kind, message)
}

func (l *Links) send(key linkKey, kind protocol.Kind, message any) {
	body, err := protocol.Encode(message)
	if err != nil {
		return
	}
	l.mutex.Lock()
	peer, known := l.links[key]
	if !known && !l.closed {
		peer = &link{address: l.address(key.member), delay: l.delay(key.member)}
		l.links[key] = peer
	}
	l.mutex.Unlock()
	if peer != nil && peer.address != "" {
		peer.send(kind, body)
	}
}

// Close closes all connections.
func (l *Links) Close() {
	l.mutex.Lock()
	l.closed = true
	links := l.links
	l.links = map[linkKey]*link{}
	l.mutex.Unlock()
	for _, peer := range links {
		peer.close()
	}
}

// link is one connection to another process, with the messages pending for it.
type link struct {
	address string
	delay   time.Duration
	mutex   sync.Mutex
	current *protocol.Connection
	dialing bool
	closed  bool
	pending []pendingMessage
	// pendingBytes is the total size of the bodies in pending.
	pendingBytes int
}

func (p *link) send(kind protocol.Kind, body []byte) {
	p.mutex.Lock()
	connection := p.current
	if connection == nil && !p.dialing && !p.closed {
		p.dialing = true
		go p.dial()
	}
	if connection == nil && len(p.pending) < maxPendingMessages && p.pendingBytes+len(body) <= maxPendingBytes {
		p.pending = append(p.pending, pendingMessage{kind, body})
		p.pendingBytes += len(body)
	}
	p.mutex.Unlock()
	if connection != nil {
		// A message that the full send queue rejects is dropped (see Send).
		_ = connection.SendRaw(kind, body)
	}
}

func (p *link) dial() {
	connection, err := protocol.Dial(p.address, dialTimeout, p.delay)
	if err != nil {
		time.Sleep(redialDelay)
	}
	p.mutex.Lock()
	p.dialing = false
	usable := err == nil && !p.closed
	if usable {
		p.current = connection
		for _, message := range p.pending {
			_ = connection.SendRaw(message.kind, message.body)
		}
	}
	p.pending = nil
	p.pendingBytes = 0
	p.mutex.Unlock()
	if usable {
		connection.OnClose(p.clearConnection)
	} else if err == nil {
		connection.Close()
	}
}

func (p *link) clearConnection() {
	p.mutex.Lock()
	p.current = nil
	p.mutex.Unlock()
}

func (p *link) close() {
	p.mutex.Lock()
	p.closed = true
	connection := p.current
	p.mutex.Unlock()
	if connection != nil {
		connection.Close()
	}
}
