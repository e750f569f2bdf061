package simulation

import (
	"fmt"

	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/result"
	"github.com/ochrebay/ochrebay/internal/settings"
)

// probePaths are the nodes that operators race for; their values tell which
// change is in force where.
var probePaths = []string{"/tenants/probe-1", "/tenants/probe-2"}

const (
	operatorWaitUs    = 1_500_000
	operatorPauseUs   = 400_000
	settingsDeadline  = 6_000_000
	changesInARow     = 80
	changesInARowGap  = 8_000
	firstProbeValue   = 1000
	operatorTries     = 60
	deploymentTries   = 400
	deploymentRetryUs = 100_000
)

// operator makes numbered changes and resends them when an answer is lost.
type operator struct {
	*process
	number   uint64
	versions map[string]uint64
}

// change is one change until it is answered.
type change struct {
	operator *operator
	content  settings.Change
	path     string
	value    int64
	tries    int
	limit    int
	attempt  int
	done     func(reply *settings.Reply)
}

func (w *world) addOperators() {
	for number := range 2 {
		o := &operator{process: w.newProcess(fmt.Sprintf("operator-%d", number+1), w.deployment.Zones[0]), versions: map[string]uint64{}}
		o.alive = true
		o.life = 1
		w.operators = append(w.operators, o)
	}
}

// importSettings brings the deployment's settings in, as scripts/fleet does.
func (w *world) importSettings(done func()) error {
	content, err := w.deployment.SettingsChange("deployment", 1)
	if err != nil {
		return err
	}
	idle := int64(8000)
	for position := range content.Nodes {
		if content.Nodes[position].Fields.IdleTimeoutMs != nil || content.Nodes[position].Path == "/" {
			content.Nodes[position].Fields.IdleTimeoutMs = &idle
		}
	}
	start := &change{operator: w.operators[0], content: content, limit: deploymentTries, done: func(reply *settings.Reply) {
		if reply == nil || reply.Error != nil {
			w.checks.violate(invariantProgress, "the deployment's settings were not accepted: %+v", reply)
			return
		}
		w.tell("the deployment's settings are accepted at revision %d", reply.Revision)
		done()
	}}
	start.try()
	return nil
}

// nextValue is a value that no other change sets.
func (w *world) nextValue() int64 {
	w.checks.values++
	return firstProbeValue + w.checks.values
}

// set changes a probe node, against the version that the operator believes in.
func (o *operator) set(path string, done func()) {
	w := o.world
	value := w.nextValue()
	o.number++
	content := settings.Change{Operator: o.name, Number: o.number, Nodes: []settings.NodeChange{{
		Path: path, Version: o.versions[path], Fields: settings.Fields{TenantMaxInFlight: &value},
	}}}
	current := &change{operator: o, content: content, path: path, value: value, limit: operatorTries}
	current.done = func(reply *settings.Reply) {
		o.answered(current, reply)
		if done != nil {
			done()
		}
	}
	current.try()
}

func (o *operator) answered(c *change, reply *settings.Reply) {
	w := o.world
	if reply == nil {
		return
	}
	if reply.Error != nil {
		if reply.Winner != nil {
			o.versions[c.path] = reply.Winner.Version
		}
		if reply.Error.Code == result.ChangeNumberReuse {
			w.checks.violate(invariantSettings, "%s: number %d was called reused", o.name, c.content.Number)
		}
		return
	}
	o.versions[c.path] = reply.Revision
	w.checks.accepted(c, reply.Revision)
	if w.chance(0.3) {
		again := &change{operator: o, content: c.content, path: c.path, value: c.value, limit: operatorTries, done: func(second *settings.Reply) {
			if second != nil && (second.Error != nil || second.Revision != reply.Revision) {
				w.checks.violate(invariantSettings, "%s: number %d sent again was answered %+v, first revision %d", o.name, c.content.Number, second, reply.Revision)
			}
		}}
		again.try()
	}
}

// try sends the change to some control process; whoever gets no answer sends the
// same number again elsewhere.
func (c *change) try() {
	w := c.operator.world
	if c.tries >= c.limit {
		c.done(nil)
		return
	}
	c.tries++
	c.attempt++
	attempt := c.attempt
	target := w.controls[w.random.IntN(len(w.controls))]
	retry := func() {
		if attempt == c.attempt && c.done != nil {
			c.attempt++
			w.after(deploymentRetryUs, "operator", c.try)
		}
	}
	target.ask(c.operator.process, protocol.KindSettings, &protocol.SettingsRequest{Change: c.content}, func(reply any) {
		if attempt != c.attempt || c.done == nil {
			return
		}
		typed, ok := reply.(*protocol.SettingsReply)
		if !ok || (typed.Reply.Error != nil && (typed.Reply.Error.Code == result.NotLeader || typed.Reply.Error.Code == result.NoQuorum)) {
			retry()
			return
		}
		done := c.done
		c.done = nil
		done(&typed.Reply)
	})
	w.after(operatorWaitUs, "operator waits", retry)
}

// keepChanging makes an operator change the probes now and then.
func (o *operator) keepChanging(times int) {
	if times == 0 || o.world.quiet {
		return
	}
	path := probePaths[o.world.random.IntN(len(probePaths))]
	o.set(path, func() {
		o.world.after(o.world.between(operatorPauseUs/4, operatorPauseUs*3), "operator", func() { o.keepChanging(times - 1) })
	})
}

// burst makes many changes in a row.
func (o *operator) burst(times int) {
	if times == 0 {
		return
	}
	o.set(probePaths[0], func() {
		o.world.after(changesInARowGap, "operator", func() { o.burst(times - 1) })
	})
}
