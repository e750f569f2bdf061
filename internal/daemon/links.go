package daemon

import (
	"sync"
	"time"

	"github.com/ochrebay/ochrebay/internal/protocol"
)

const (
	// dialTimeout is short: a machine without power says nothing, and the kernel would
	// repeat the opening packet only after a second, when the machine may long be back.
	dialTimeout = 300 * time.Millisecond
	redialPause = 50 * time.Millisecond
	// waitingMessages and waitingBytes bound what is kept for a peer while its
	// connection is made.
	waitingMessages = 64
	waitingBytes    = 1 << 20
)

// outgoing is a message that waits for a connection.
type outgoing struct {
	kind protocol.Kind
	body []byte
}

// Links are the connections to other processes for messages that need no answer;
// they redial by themselves.
type Links struct {
	mutex sync.Mutex
	links map[lane]*link
	// address and delay describe a member.
	address func(member string) string
	delay   func(member string) time.Duration
	closed  bool
}

// lane is one of the connections to a member. Invariant: bulk, which may be late and out of
// order, never stands before heartbeats, votes and entries on a crowded link.
type lane struct {
	member string
	bulk   bool
}

// NewLinks returns links to members by address; delay stands in for distance.
func NewLinks(address func(member string) string, delay func(member string) time.Duration) *Links {
	return &Links{links: map[lane]*link{}, address: address, delay: delay}
}

// Send sends a message. Where there is no connection, a few messages wait for it: the
// first vote of a process that has just started must not be lost. What can't be sent
// is dropped, since consensus repeats what matters.
func (l *Links) Send(member string, kind protocol.Kind, message any) {
	l.send(lane{member: member}, kind, message)
}

// SendBulk is Send on a connection of its own, for messages that may be late and for which
// no other may wait.
func (l *Links) SendBulk(member string, kind protocol.Kind, message any) {
	l.send(lane{member: member, bulk: true}, kind, message)
}

func (l *Links) send(key lane, kind protocol.Kind, message any) {
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

// Close ends all connections.
func (l *Links) Close() {
	l.mutex.Lock()
	l.closed = true
	links := l.links
	l.links = map[lane]*link{}
	l.mutex.Unlock()
	for _, peer := range links {
		peer.close()
	}
}

// link is the connection to one other process.
type link struct {
	address string
	delay   time.Duration
	mutex   sync.Mutex
	current *protocol.Connection
	dialing bool
	closed  bool
	waiting []outgoing
	// waitingBytes is the size of what waits.
	waitingBytes int
}

func (p *link) send(kind protocol.Kind, body []byte) {
	p.mutex.Lock()
	connection := p.current
	if connection == nil && !p.dialing && !p.closed {
		p.dialing = true
		go p.dial()
	}
	if connection == nil && len(p.waiting) < waitingMessages && p.waitingBytes+len(body) <= waitingBytes {
		p.waiting = append(p.waiting, outgoing{kind, body})
		p.waitingBytes += len(body)
	}
	p.mutex.Unlock()
	if connection != nil {
		// What a full queue does not take is dropped, as said at Send.
		_ = connection.SendRaw(kind, body)
	}
}

func (p *link) dial() {
	connection, err := protocol.Dial(p.address, dialTimeout, p.delay)
	if err != nil {
		time.Sleep(redialPause)
	}
	p.mutex.Lock()
	p.dialing = false
	keep := err == nil && !p.closed
	if keep {
		p.current = connection
		for _, message := range p.waiting {
			_ = connection.SendRaw(message.kind, message.body)
		}
	}
	p.waiting = nil
	p.waitingBytes = 0
	p.mutex.Unlock()
	if keep {
		connection.OnClose(p.forget)
	} else if err == nil {
		connection.Close()
	}
}

func (p *link) forget() {
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
