package simulation

// network carries messages between processes. Messages from one process to another
// arrive in the order sent, as on one connection, except for consensus messages, which
// can be lost, duplicated and reordered.
type network struct {
	world *world
	links map[[2]string]*link
	// cuts counts the active faults that block messages from one process to another.
	cuts                 map[[2]string]int
	extraDelayUs         int64
	duplicateProbability float64
	deliveredMessages    int64
}

type link struct {
	lastArrivalUs int64
	stalled       []stalledMessage
}

type stalledMessage struct {
	deliver    func()
	reportLoss func()
}

func newNetwork(w *world) *network {
	return &network{world: w, links: map[[2]string]*link{}, cuts: map[[2]string]int{}}
}

const (
	localDelayUs          = 40
	maxJitterUs           = 60
	faultJitterUs         = 30_000
	maxReorderUs          = 3_000
	resetProbability      = 0.5
	resetAfterUs          = 2_000_000
	lossNoticeDelayUs     = 300
	connectRefusedDelayUs = 200
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

func (n *network) randomDelayUs(from, to *process) int64 {
	delay := int64(localDelayUs)
	if from.zone != to.zone {
		delay += int64(n.world.deployment.ZoneDelayMs * microsPerMilli)
	}
	delay += n.world.randomBetween(0, maxJitterUs)
	if n.extraDelayUs > 0 {
		delay += n.world.randomBetween(0, n.extraDelayUs)
	}
	return delay
}

// send carries a message on a connection to the incarnation toIncarnation of a process; zero
// opens a connection to its current incarnation. lost, where set, runs at the sender if
// the message cannot arrive.
func (n *network) send(from, to *process, toIncarnation int, label string, deliver, lost func()) {
	link := n.link(from, to)
	senderIncarnation := from.incarnation
	arrival := max(link.lastArrivalUs, n.world.nowUs+n.randomDelayUs(from, to))
	link.lastArrivalUs = arrival
	reportLoss := func() {
		if lost == nil {
			return
		}
		n.world.after(lossNoticeDelayUs, "lost", func() {
			if from.isAlive && from.incarnation == senderIncarnation {
				from.receive(lost)
			}
		})
	}
	handleArrival := func() {
		if !to.isAlive || (toIncarnation != 0 && to.incarnation != toIncarnation) {
			reportLoss()
			return
		}
		n.deliveredMessages++
		to.receiveOrReportLoss(deliver, reportLoss)
	}
	n.world.after(arrival-n.world.nowUs, label, func() {
		if n.isCut(from, to) || len(link.stalled) > 0 {
			link.stalled = append(link.stalled, stalledMessage{deliver: handleArrival, reportLoss: reportLoss})
			return
		}
		handleArrival()
	})
}

// sendUnreliable carries a consensus message, which can be lost, duplicated or reordered.
func (n *network) sendUnreliable(from, to *process, deliver func()) {
	copies := 1
	if n.duplicateProbability > 0 && n.world.randomBool(n.duplicateProbability) {
		copies = 2
	}
	for range copies {
		delay := n.randomDelayUs(from, to)
		if n.duplicateProbability > 0 && n.world.randomBool(n.duplicateProbability) {
			delay += n.world.randomBetween(0, maxReorderUs)
		}
		n.world.after(delay, "peer", func() {
			if n.isCut(from, to) || !to.isAlive {
				return
			}
			n.deliveredMessages++
			to.receive(deliver)
		})
	}
}

// cut blocks messages from one process to another; heal ends one cut. When the last cut
// ends, the stalled messages either arrive late or are reported lost, as after a reset of
// the connection.
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
	stalled := link.stalled
	link.stalled = nil
	isReset := n.world.randomBool(resetProbability)
	for _, message := range stalled {
		if isReset {
			message.reportLoss()
		} else {
			message.deliver()
		}
	}
}
