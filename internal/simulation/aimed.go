package simulation

import "github.com/ochrebay/ochrebay/internal/engine"

// State-triggered faults wait for the moment at which they do most harm: in the middle
// of a stream, while the successor of a lost attempt runs, or between the election of a
// new leader and the end of the old leader.

const (
	triggerCheckIntervalUs = 5_000
	triggerTimeoutUs       = 2_000_000
	zombieTimeoutUs        = 9_000_000
	splitChangeDelayUs     = 1_000_000
	splitRestartDelayUs    = 1_300_000
	splitDurationUs        = 3_500_000
	cellOutageUs           = 6_000_000
)

// runWhen runs run as soon as the condition holds, but no later than after patienceUs or
// once all faults have ended; run receives whether the condition holds.
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
	w.tracef("%s is killed while busy", p.name)
	p.kill(false)
	w.after(forUs, "fault ends", p.restart)
}

// hasRunningAttempt reports whether the scheduler is alive and has an attempt that an
// engine has started.
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

// killCell kills a scheduler with a running attempt and every engine of the pools that
// its attempts use, so that a scheduler that takes over the call has no engine for it.
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

// makeZombie freezes a scheduler with a running attempt and thaws it once a later call of
// the same program runs for another scheduler, or after zombieTimeoutUs.
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
		w.tracef("%s is frozen while busy", node.name)
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

// partitionLeader partitions the leader of the settings group from the other control
// processes only, changes a setting meanwhile and restarts the schedulers, which can
// reach both sides of the partition.
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

// createStaleSettings partitions all schedulers but one from the control processes,
// changes a setting and then kills the connected scheduler, so that sidecars turn to
// schedulers that have not received the change.
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

// checkTurnOrder checks that a scheduler never has two calls of a program running on
// engines at the same time.
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
