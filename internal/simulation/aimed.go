package simulation

import "github.com/ochrebay/ochrebay/internal/engine"

// Aimed failures wait for the moment at which they do most harm: in the middle
// of a stream, while a lost attempt's successor runs, between an election and
// the old leader's end.

const (
	aimEveryUs     = 5_000
	aimPatienceUs  = 2_000_000
	zombiePatience = 9_000_000
	splitChangeUs  = 1_000_000
	splitRestartUs = 1_300_000
	splitForUs     = 3_500_000
	cellDownUs     = 6_000_000
)

// when runs something as soon as a condition holds, or else at the end of a time.
func (w *world) when(patienceUs int64, condition func() bool, run func(met bool)) {
	until := w.nowUs + patienceUs
	var look func()
	look = func() {
		met := condition()
		if met || w.nowUs >= until || w.calm {
			run(met)
			return
		}
		w.after(aimEveryUs, "aim", look)
	}
	look()
}

func (w *world) applyAimed(fault Fault) {
	forUs := fault.ForMs * microsPerMilli
	switch fault.Kind {
	case "engine-busy":
		node := w.engine(fault.Target)
		w.when(aimPatienceUs, func() bool { return node.alive && len(node.runs) > 0 }, func(met bool) {
			if met {
				w.fell(node.process, forUs)
			}
		})
	case "scheduler-busy":
		node := w.scheduler(fault.Target)
		w.when(aimPatienceUs, func() bool { return node.busy() }, func(met bool) {
			if met {
				w.fell(node.process, forUs)
			}
		})
	case "cell-busy":
		w.fellCell(w.scheduler(fault.Target))
	case "zombie":
		w.makeZombie(w.scheduler(fault.Target))
	case "split":
		w.splitLeader()
	case "stale-feed":
		w.staleFeed(w.scheduler(fault.Target))
	}
}

func (w *world) fell(p *process, forUs int64) {
	if w.calm {
		return
	}
	w.tell("%s is killed at work", p.name)
	p.kill(false)
	w.after(forUs, "fault ends", p.restart)
}

// busy reports whether an engine has started a call for the scheduler.
func (n *schedulerNode) busy() bool {
	if !n.alive {
		return false
	}
	for _, run := range n.attempts {
		if run.job != "" {
			return true
		}
	}
	return false
}

// fellCell kills a scheduler at work and every engine of the pool it works with:
// whoever takes the call over has nothing to run it on.
func (w *world) fellCell(node *schedulerNode) {
	w.when(aimPatienceUs, node.busy, func(met bool) {
		if !met || w.calm {
			return
		}
		pools := map[string]bool{}
		for _, run := range node.attempts {
			if run.engine != nil {
				pools[run.engine.pool] = true
			}
		}
		for _, other := range w.engines {
			if pools[other.pool] {
				w.fell(other.process, cellDownUs)
			}
		}
		w.fell(node.process, cellDownUs)
	})
}

// makeZombie freezes a scheduler at work until a later call of the same program
// runs for another scheduler, and lets it go on then.
func (w *world) makeZombie(node *schedulerNode) {
	w.when(aimPatienceUs, node.busy, func(met bool) {
		if !met || w.calm {
			return
		}
		requests := map[string]string{}
		for _, run := range node.attempts {
			if run.engine != nil {
				if current, ok := run.engine.runs[run.job]; ok {
					requests[current.program] = current.request
				}
			}
		}
		w.tell("%s freezes at work", node.name)
		node.freeze()
		later := func() bool {
			for _, e := range w.engines {
				for _, current := range e.runs {
					request, ok := requests[current.program]
					if ok && request != current.request && current.run.scheduler != node {
						return true
					}
				}
			}
			return false
		}
		w.when(zombiePatience, later, func(met bool) {
			w.tell("%s thaws (a later call runs elsewhere: %t)", node.name, met)
			node.thaw()
		})
	})
}

// splitLeader cuts the leader of the settings off from the other control
// processes only, changes a setting at the other side, and restarts the
// schedulers, which may ask either side.
func (w *world) splitLeader() {
	leader := w.leaderOf(0)
	for _, node := range w.controls {
		if node.process != leader {
			w.network.cut(leader, node.process)
			w.network.cut(node.process, leader)
		}
	}
	w.after(splitChangeUs, "split", func() { w.operators[0].set(probePaths[1], nil) })
	w.after(splitRestartUs, "split", func() {
		for _, node := range w.schedulers {
			w.fell(node.process, splitRestartUs/8)
		}
	})
	w.after(splitForUs, "fault ends", func() {
		for _, node := range w.controls {
			if node.process != leader {
				w.network.heal(leader, node.process)
				w.network.heal(node.process, leader)
			}
		}
	})
}

// staleFeed leaves one scheduler in touch with control, changes a setting and then
// kills that one: sidecars turn to schedulers that have not heard of the change.
func (w *world) staleFeed(informed *schedulerNode) {
	var heal []func()
	for _, node := range w.schedulers {
		if node == informed {
			continue
		}
		for _, member := range w.controls {
			w.network.cut(node.process, member.process)
			w.network.cut(member.process, node.process)
			heal = append(heal, func() {
				w.network.heal(node.process, member.process)
				w.network.heal(member.process, node.process)
			})
		}
	}
	w.after(splitChangeUs/4, "stale", func() { w.operators[0].set(probePaths[1], nil) })
	w.after(splitChangeUs, "stale", func() { w.fell(informed.process, splitChangeUs) })
	w.after(splitForUs, "fault ends", func() {
		for _, run := range heal {
			run()
		}
	})
}

// checkOrder sees to it that a scheduler never has two calls of one program on
// engines at a time.
func (c *checks) checkOrder(started *engineRun, request engine.CompletionRequest) {
	for _, node := range c.world.engines {
		for _, other := range node.runs {
			if other.program != request.User || other.request == request.RequestID || other.run.stopped {
				continue
			}
			if other.run.scheduler == started.scheduler && other.run.life == started.life {
				c.violate(invariantOrder, "requests %s and %s of program %s run at the same time", other.request, request.RequestID, request.User)
			}
		}
	}
}
