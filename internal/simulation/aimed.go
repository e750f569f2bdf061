package simulation

import "github.com/ochrebay/ochrebay/internal/engine"

// Aimed failures wait for the moment at which they do most harm: in the middle
// of a stream, while a lost attempt's successor runs, between an election and
// the old leader's end.

const (
	triggerCheckIntervalUs = 5_000
	triggerTimeoutUs       = 2_000_000
	zombieTimeoutUs        = 9_000_000
	splitChangeDelayUs     = 1_000_000
	splitRestartDelayUs    = 1_300_000
	splitDurationUs        = 3_500_000
	cellOutageUs           = 6_000_000
)

// runWhen runs something as soon as a condition holds, or else at the end of a time.
func (w *world) runWhen(patienceUs int64, condition func() bool, run func(met bool)) {
	deadlineUs := w.nowUs + patienceUs
	var check func()
	check = func() {
		isMet := condition()
		if isMet || w.nowUs >= deadlineUs || w.haveFaultsEnded {
			run(isMet)
			return
		}
		w.after(triggerCheckIntervalUs, "aim", check)
	}
	check()
}

func (w *world) applyTriggeredFault(fault Fault) {
	forUs := fault.ForMs * microsPerMilli
	switch fault.Kind {
	case "engine-busy":
		node := w.engineByName(fault.Target)
		w.runWhen(triggerTimeoutUs, func() bool { return node.isAlive && len(node.jobs) > 0 }, func(met bool) {
			if met {
				w.killFor(node.process, forUs)
			}
		})
	case "scheduler-busy":
		node := w.schedulerByName(fault.Target)
		w.runWhen(triggerTimeoutUs, func() bool { return node.hasRunningAttempt() }, func(met bool) {
			if met {
				w.killFor(node.process, forUs)
			}
		})
	case "cell-busy":
		w.killCell(w.schedulerByName(fault.Target))
	case "zombie":
		w.makeZombie(w.schedulerByName(fault.Target))
	case "split":
		w.partitionLeader()
	case "stale-feed":
		w.createStaleSettings(w.schedulerByName(fault.Target))
	}
}

func (w *world) killFor(p *process, forUs int64) {
	if w.haveFaultsEnded {
		return
	}
	w.tracef("%s is killed at work", p.name)
	p.kill(false)
	w.after(forUs, "fault ends", p.restart)
}

// hasRunningAttempt reports whether an engine has started a call for the scheduler.
func (n *schedulerNode) hasRunningAttempt() bool {
	if !n.isAlive {
		return false
	}
	for _, run := range n.attempts {
		if run.jobID != "" {
			return true
		}
	}
	return false
}

// killCell kills a scheduler at work and every engine of the pool it works with:
// whoever takes the call over has nothing to run it on.
func (w *world) killCell(node *schedulerNode) {
	w.runWhen(triggerTimeoutUs, node.hasRunningAttempt, func(met bool) {
		if !met || w.haveFaultsEnded {
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
				w.killFor(other.process, cellOutageUs)
			}
		}
		w.killFor(node.process, cellOutageUs)
	})
}

// makeZombie freezes a scheduler at work until a later call of the same program
// runs for another scheduler, and lets it go on then.
func (w *world) makeZombie(node *schedulerNode) {
	w.runWhen(triggerTimeoutUs, node.hasRunningAttempt, func(met bool) {
		if !met || w.haveFaultsEnded {
			return
		}
		requestByProgram := map[string]string{}
		for _, run := range node.attempts {
			if run.engine != nil {
				if current, ok := run.engine.jobs[run.jobID]; ok {
					requestByProgram[current.program] = current.request
				}
			}
		}
		w.tracef("%s freezes at work", node.name)
		node.freeze()
		hasLaterAttempt := func() bool {
			for _, e := range w.engines {
				for _, current := range e.jobs {
					request, ok := requestByProgram[current.program]
					if ok && request != current.request && current.attempt.scheduler != node {
						return true
					}
				}
			}
			return false
		}
		w.runWhen(zombieTimeoutUs, hasLaterAttempt, func(met bool) {
			w.tracef("%s thaws (a later call runs elsewhere: %t)", node.name, met)
			node.thaw()
		})
	})
}

// partitionLeader cuts the leader of the settings off from the other control
// processes only, changes a setting at the other side, and restarts the
// schedulers, which may ask either side.
func (w *world) partitionLeader() {
	leader := w.leaderOfGroup(0)
	for _, node := range w.controls {
		if node.process != leader {
			w.network.cut(leader, node.process)
			w.network.cut(node.process, leader)
		}
	}
	w.after(splitChangeDelayUs, "split", func() { w.operators[0].changeProbe(probePaths[1], nil) })
	w.after(splitRestartDelayUs, "split", func() {
		for _, node := range w.schedulers {
			w.killFor(node.process, splitRestartDelayUs/8)
		}
	})
	w.after(splitDurationUs, "fault ends", func() {
		for _, node := range w.controls {
			if node.process != leader {
				w.network.heal(leader, node.process)
				w.network.heal(node.process, leader)
			}
		}
	})
}

// createStaleSettings leaves one scheduler in touch with control, changes a setting and then
// kills that one: sidecars turn to schedulers that have not heard of the change.
func (w *world) createStaleSettings(connected *schedulerNode) {
	var heal []func()
	for _, node := range w.schedulers {
		if node == connected {
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
	w.after(splitChangeDelayUs/4, "stale", func() { w.operators[0].changeProbe(probePaths[1], nil) })
	w.after(splitChangeDelayUs, "stale", func() { w.killFor(connected.process, splitChangeDelayUs) })
	w.after(splitDurationUs, "fault ends", func() {
		for _, run := range heal {
			run()
		}
	})
}

// checkTurnOrder sees to it that a scheduler never has two calls of one program on
// engines at a time.
func (c *checks) checkTurnOrder(started *engineAttempt, request engine.CompletionRequest) {
	for _, node := range c.world.engines {
		for _, other := range node.jobs {
			if other.program != request.User || other.request == request.RequestID || other.attempt.isStopped {
				continue
			}
			if other.attempt.scheduler == started.scheduler && other.attempt.schedulerIncarnation == started.schedulerIncarnation {
				c.reportViolation(invariantOrder, "requests %s and %s of program %s run at the same time", other.request, request.RequestID, request.User)
			}
		}
	}
}
