package simulation

// network carries messages between processes. Between two processes messages
// keep their order, as on one connection, except consensus messages, which may
// be lost, doubled and reordered.
type network struct {
	world *world
	links map[[2]string]*link
	// cuts counts the causes for which messages from one process to another
	// don't arrive.
	cuts      map[[2]string]int
	slowUs    int64
	doubling  float64
	delivered int64
}

type link struct {
	lastUs  int64
	stalled []stalledMessage
}

type stalledMessage struct {
	deliver func()
	lost    func()
}

func newNetwork(w *world) *network {
	return &network{world: w, links: map[[2]string]*link{}, cuts: map[[2]string]int{}}
}

const (
	localDelayUs   = 40
	jitterUs       = 60
	slowJitterUs   = 30_000
	reorderUs      = 3_000
	resetShare     = 0.5
	resetAfterUs   = 2_000_000
	lostNoticeUs   = 300
	connectRefused = 200
)

func (n *network) link(from, to *process) *link {
	key := [2]string{from.name, to.name}
	known, ok := n.links[key]
	if !ok {
		known = &link{}
		n.links[key] = known
	}
	return known
}

func (n *network) isCut(from, to *process) bool {
	return n.cuts[[2]string{from.name, to.name}] > 0
}

func (n *network) delayUs(from, to *process) int64 {
	delay := int64(localDelayUs)
	if from.zone != to.zone {
		delay += int64(n.world.deployment.ZoneDelayMs * microsPerMilli)
	}
	delay += n.world.between(0, jitterUs)
	if n.slowUs > 0 {
		delay += n.world.between(0, n.slowUs)
	}
	return delay
}

// send carries a message of a connection. A toLife of zero opens a connection to
// whichever life of the process is there; lost, where set, runs at the sender
// when the message can't arrive.
func (n *network) send(from, to *process, toLife int, label string, deliver, lost func()) {
	link := n.link(from, to)
	fromLife := from.life
	arrival := max(link.lastUs, n.world.nowUs+n.delayUs(from, to))
	link.lastUs = arrival
	report := func() {
		if lost == nil {
			return
		}
		n.world.after(lostNoticeUs, "lost", func() {
			if from.alive && from.life == fromLife {
				from.receive(lost)
			}
		})
	}
	arrive := func() {
		if !to.alive || (toLife != 0 && to.life != toLife) {
			report()
			return
		}
		n.delivered++
		to.receiveOr(deliver, report)
	}
	n.world.after(arrival-n.world.nowUs, label, func() {
		if n.isCut(from, to) || len(link.stalled) > 0 {
			link.stalled = append(link.stalled, stalledMessage{deliver: arrive, lost: report})
			return
		}
		arrive()
	})
}

// sendLoose carries a consensus message: it may be lost, doubled or overtaken.
func (n *network) sendLoose(from, to *process, deliver func()) {
	copies := 1
	if n.doubling > 0 && n.world.chance(n.doubling) {
		copies = 2
	}
	for range copies {
		delay := n.delayUs(from, to)
		if n.doubling > 0 && n.world.chance(n.doubling) {
			delay += n.world.between(0, reorderUs)
		}
		n.world.after(delay, "peer", func() {
			if n.isCut(from, to) || !to.alive {
				return
			}
			n.delivered++
			to.receive(deliver)
		})
	}
}

// cut stops messages from one process to another; heal ends that. What waited on
// the connection then either arrives late, or the connection turns out broken.
func (n *network) cut(from, to *process) {
	n.cuts[[2]string{from.name, to.name}]++
}

func (n *network) heal(from, to *process) {
	key := [2]string{from.name, to.name}
	if n.cuts[key] <= 0 {
		return
	}
	n.cuts[key]--
	if n.cuts[key] > 0 {
		return
	}
	link := n.link(from, to)
	waiting := link.stalled
	link.stalled = nil
	broken := n.world.chance(resetShare)
	for _, message := range waiting {
		if broken {
			message.lost()
		} else {
			message.deliver()
		}
	}
}
