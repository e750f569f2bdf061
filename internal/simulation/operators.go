package simulation

import (
	"fmt"

	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/result"
	"github.com/ochrebay/ochrebay/internal/settings"
)

// probePaths are the settings nodes that operators change concurrently; every change sets
// a unique value, which identifies the change in force at a daemon.
var probePaths = []string{"/tenants/probe-1", "/tenants/probe-2"}

const (
	changeTimeoutUs    = 1_500_000
	changePauseUs      = 400_000
	settingsDeadlineUs = 6_000_000
	burstChanges       = 80
	burstIntervalUs    = 8_000
	firstProbeValue    = 1000
	maxProbeTries      = 60
	maxImportTries     = 400
	changeRetryDelayUs = 100_000
)

// operator submits numbered changes and resends them when a reply is lost.
type operator struct {
	*process
	lastNumber uint64
	versions   map[string]uint64
}

// change is a settings change that has not been answered yet. attempt identifies the
// current attempt, so that replies to earlier attempts are ignored.
type change struct {
	operator *operator
	content  settings.Change
	path     string
	value    int64
	tries    int
	maxTries int
	attempt  int
	onDone   func(reply *settings.Reply)
}

func (w *world) addOperators() {
	for number := range 2 {
		o := &operator{process: w.newProcess(fmt.Sprintf("operator-%d", number+1), w.deployment.Zones[0]), versions: map[string]uint64{}}
		o.isAlive = true
		o.incarnation = 1
		w.operators = append(w.operators, o)
	}
}

// importSettings imports the settings of the deployment, as scripts/fleet does.
func (w *world) importSettings(done func()) error {
	content, err := w.deployment.SettingsChange("deployment", 1)
	if err != nil {
		return err
	}
	idleTimeoutMs := int64(8000)
	for position := range content.Nodes {
		if content.Nodes[position].Fields.IdleTimeoutMs != nil || content.Nodes[position].Path == "/" {
			content.Nodes[position].Fields.IdleTimeoutMs = &idleTimeoutMs
		}
	}
	initial := &change{operator: w.operators[0], content: content, maxTries: maxImportTries, onDone: func(reply *settings.Reply) {
		if reply == nil || reply.Error != nil {
			w.checks.reportViolation(invariantProgress, "the settings of the deployment were not accepted: %+v", reply)
			return
		}
		w.tracef("the settings of the deployment are accepted at revision %d", reply.Revision)
		done()
	}}
	initial.send()
	return nil
}

// nextProbeValue returns a value that no other change sets.
func (w *world) nextProbeValue() int64 {
	w.checks.probeValues++
	return firstProbeValue + w.checks.probeValues
}

// changeProbe submits a change of a probe node, based on the version of the node that the
// operator last saw.
func (o *operator) changeProbe(path string, done func()) {
	w := o.world
	value := w.nextProbeValue()
	o.lastNumber++
	content := settings.Change{Operator: o.name, Number: o.lastNumber, Nodes: []settings.NodeChange{{
		Path: path, Version: o.versions[path], Fields: settings.Fields{TenantMaxInFlight: &value},
	}}}
	probe := &change{operator: o, content: content, path: path, value: value, maxTries: maxProbeTries}
	probe.onDone = func(reply *settings.Reply) {
		o.handleReply(probe, reply)
		if done != nil {
			done()
		}
	}
	probe.send()
}

func (o *operator) handleReply(c *change, reply *settings.Reply) {
	w := o.world
	if reply == nil {
		return
	}
	if reply.Error != nil {
		if reply.Winner != nil {
			o.versions[c.path] = reply.Winner.Version
		}
		if reply.Error.Code == result.ChangeNumberReuse {
			w.checks.reportViolation(invariantSettings, "%s: change number %d was rejected as reused", o.name, c.content.Number)
		}
		return
	}
	o.versions[c.path] = reply.Revision
	w.checks.observeAcceptedChange(c, reply.Revision)
	if w.randomBool(0.3) {
		resent := &change{operator: o, content: c.content, path: c.path, value: c.value, maxTries: maxProbeTries, onDone: func(second *settings.Reply) {
			if second != nil && (second.Error != nil || second.Revision != reply.Revision) {
				w.checks.reportViolation(invariantSettings, "%s: change number %d was resent and answered %+v, but first accepted at revision %d", o.name, c.content.Number, second, reply.Revision)
			}
		}}
		resent.send()
	}
}

// send sends the change to a random control process. Without an accepted or rejected
// reply in time, it resends the change with the same number to a control process
// picked anew, up to maxTries times.
func (c *change) send() {
	w := c.operator.world
	if c.tries >= c.maxTries {
		c.onDone(nil)
		return
	}
	c.tries++
	c.attempt++
	attempt := c.attempt
	target := w.controls[w.random.IntN(len(w.controls))]
	retry := func() {
		if attempt == c.attempt && c.onDone != nil {
			c.attempt++
			w.after(changeRetryDelayUs, "operator", c.send)
		}
	}
	target.handleRequestFrom(c.operator.process, protocol.KindSettings, &protocol.SettingsRequest{Change: c.content}, func(reply any) {
		if attempt != c.attempt || c.onDone == nil {
			return
		}
		settingsReply, ok := reply.(*protocol.SettingsReply)
		if !ok || (settingsReply.Reply.Error != nil && (settingsReply.Reply.Error.Code == result.NotLeader || settingsReply.Reply.Error.Code == result.NoQuorum)) {
			retry()
			return
		}
		done := c.onDone
		c.onDone = nil
		done(&settingsReply.Reply)
	})
	w.after(changeTimeoutUs, "operator waits", retry)
}

// keepChanging makes the operator change random probes with random pauses.
func (o *operator) keepChanging(times int) {
	if times == 0 || o.world.isQuiescent {
		return
	}
	path := probePaths[o.world.random.IntN(len(probePaths))]
	o.changeProbe(path, func() {
		o.world.after(o.world.randomBetween(changePauseUs/4, changePauseUs*3), "operator", func() { o.keepChanging(times - 1) })
	})
}

// burst submits changes of the first probe in quick succession, each after the answer
// to the one before.
func (o *operator) burst(times int) {
	if times == 0 {
		return
	}
	o.changeProbe(probePaths[0], func() {
		o.world.after(burstIntervalUs, "operator", func() { o.burst(times - 1) })
	})
}
