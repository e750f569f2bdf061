package gateway

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/ochrebay/ochrebay/internal/membership"
	"github.com/ochrebay/ochrebay/internal/program"
	"github.com/ochrebay/ochrebay/internal/result"
	"github.com/ochrebay/ochrebay/internal/routing"
	"github.com/ochrebay/ochrebay/internal/telemetry"
)

// maxStreamRetention bounds how long the ledger retains the origin of a stream for its caller.
const maxStreamRetention = 10 * time.Minute

var errOriginNotRecorded = errors.New("ledger did not record the stream's software version")

// Values of the metric label "by": the process that continues a stream after a break.
const (
	continuedByGateway = "gateway"
	continuedByCaller  = "caller"
)

// versionRequirement restricts a call to the engines of one software version. The zero value allows
// all engines.
type versionRequirement struct {
	isRequired bool
	version    string
}

// allows reports whether the call may be sent to an engine.
func (r versionRequirement) allows(engine membership.ServingEngine) bool {
	return !r.isRequired || engine.SoftwareVersion == r.version
}

// canBeTakenUp reports whether the call is a stream that its caller may take up in another request
// if it breaks off. Streams of retained turns can't be: the ledger would retain the turn without its
// first events.
func (c *call) canBeTakenUp() bool {
	return c.route.Kind == routing.KindStream && c.route.Resumable && !c.retainsTurn()
}

// isTakeUp reports whether the caller takes up a stream of an earlier request.
func (c *call) isTakeUp() bool {
	return c.route.Kind == routing.KindStream && (c.takesUp != "" || c.takenUpAfter > 0)
}

// beginningRequest returns the request that began the call's stream, "" if the caller takes up a
// stream without naming it.
func (c *call) beginningRequest() string {
	if c.isTakeUp() {
		return c.takesUp
	}
	return c.turnID
}

// streamScope returns the program under which the ledger records the stream or, if it belongs to
// none, the request that began it.
func (c *call) streamScope() string {
	if c.programID != "" {
		return c.programID
	}
	return c.beginningRequest()
}

// checkTakeUp rejects a take-up of a stream that can't be taken up.
func (c *call) checkTakeUp() *result.Error {
	if c.isTakeUp() && !c.canBeTakenUp() {
		return result.New(result.InvalidHeader, "the streams of route %s can't be taken up", c.route.Name)
	}
	return nil
}

// streamRetentionMs returns how long the caller may take the stream up, in milliseconds.
func (c *call) streamRetentionMs() int64 {
	return min(c.callerTimeout, maxStreamRetention).Milliseconds()
}

// streamOpening returns the message that records the expected origin of a stream, or that finds the
// origin of a stream that is taken up; nil for a call that callers can't take up.
func (d *Daemon) streamOpening(c *call) *program.StreamOpening {
	if !c.canBeTakenUp() {
		return nil
	}
	opening := &program.StreamOpening{RetentionMs: c.streamRetentionMs()}
	if c.isTakeUp() {
		opening.TakesUp = c.takesUp
		return opening
	}
	opening.Origin = &program.StreamOrigin{Backend: c.backend.Name, SoftwareVersion: d.engines.mainVersion(c.backend.Name)}
	return opening
}

// openStream records or finds the origin of a stream that is not a turn.
func (d *Daemon) openStream(ctx context.Context, c *call) *result.Error {
	opening := d.streamOpening(c)
	if opening == nil {
		return nil
	}
	if d.ledgers.groupCount() == 0 {
		// A fleet without ledger hosts serves streams, but none that is taken up.
		return d.applyStreamOrigin(c, nil)
	}
	ledgerContext, cancel := context.WithDeadline(ctx, c.latestOpening())
	defer cancel()
	reply := d.ledgers.openStream(ledgerContext, &program.OpenStream{Program: c.streamScope(), Request: c.turnID, Session: c.sessionID, Opening: *opening})
	if reply.Error != nil && reply.Error.Code != result.MalformedRequest {
		return reply.Error
	}
	// A ledger of a release that records no streams rejects the request as malformed.
	return d.applyStreamOrigin(c, reply.Stream)
}

// applyStreamOrigin applies the origin that is on record for the call's stream; origin is nil if the
// ledger runs a release that records none. A stream that is taken up continues at its origin.
func (d *Daemon) applyStreamOrigin(c *call, origin *program.StreamOrigin) *result.Error {
	c.recordedOrigin = origin
	c.recordsOrigin = origin != nil
	if !c.isTakeUp() {
		return nil
	}
	c.programInProgress = true
	if origin == nil {
		return result.New(result.StreamUnknown, "no ledger host records streams")
	}
	if !slices.ContainsFunc(c.route.Shares, func(share routing.BackendShare) bool { return share.Backend == origin.Backend && share.Weight > 0 }) {
		return result.New(result.StreamUnavailable, "the stream began at backend %s, which route %s does not lead to", origin.Backend, c.route.Name)
	}
	if c.backend.Name != origin.Backend {
		c.setBackend(origin.Backend)
		c.latestStart = d.latestStart(c)
	}
	c.requirement = versionRequirement{isRequired: true, version: origin.SoftwareVersion}
	return d.checkRequirement(c, nil)
}

// checkRequirement returns an error if the call's stream can only continue at a software version
// that no engine of its backend runs, except for the excluded ones.
func (d *Daemon) checkRequirement(c *call, excluded []string) *result.Error {
	if !c.requirement.isRequired || d.engines.hasEligibleEngine(c.backend.Name, c.requirement, excluded) {
		return nil
	}
	return result.New(result.StreamUnavailable, "backend %s has no other engine of software version %q, which sent the stream's first event", c.backend.Name, c.requirement.version)
}

// originRecording is the recording of a stream's origin, which runs while the engine prefills the
// prompt.
type originRecording struct {
	origin program.StreamOrigin
	result chan bool
}

// startOriginRecording records at the ledger that the stream begins at the selected engine's software
// version, unless that is on record already. The record has to be confirmed before the caller
// receives an event (awaitOrigin).
func (d *Daemon) startOriginRecording(ctx context.Context, c *call) {
	c.originRecording = nil
	origin := program.StreamOrigin{Backend: c.backend.Name, SoftwareVersion: c.selection.engine.SoftwareVersion}
	if !c.recordsOrigin || c.isTakeUp() || c.requirement.isRequired || (c.recordedOrigin != nil && *c.recordedOrigin == origin) {
		return
	}
	// Until the ledger confirms the new record, either one may be in force.
	c.recordedOrigin = nil
	recording := &originRecording{origin: origin, result: make(chan bool, 1)}
	c.originRecording = recording
	open := &program.OpenStream{
		Program: c.streamScope(), Request: c.turnID, Session: c.sessionID,
		Opening: program.StreamOpening{Origin: &origin, Attempt: c.attemptCount, RetentionMs: c.streamRetentionMs()},
	}
	recordingContext, cancel := context.WithDeadline(ctx, c.deadline)
	go func() {
		defer cancel()
		reply := d.ledgers.openStream(recordingContext, open)
		if reply.Error != nil && ctx.Err() == nil {
			d.logFailure("stream origin not recorded", c, reply.Error)
		}
		recording.result <- reply.Error == nil && reply.Stream != nil && *reply.Stream == origin
	}()
}

// awaitOrigin waits until the ledger has recorded the origin of the call's stream, and returns false
// if it has not. Invariant: the caller receives no event before that, so that it never takes up a
// stream whose record names another software version.
func (c *call) awaitOrigin(ctx context.Context) bool {
	recording := c.originRecording
	if recording == nil {
		return true
	}
	c.originRecording = nil
	select {
	case recorded := <-recording.result:
		if recorded {
			c.recordedOrigin = &recording.origin
		}
		return recorded
	case <-ctx.Done():
		return false
	}
}

// requireVersion restricts the call to the software version of the engine that sent the stream's
// first event.
func (c *call) requireVersion(engine membership.ServingEngine) {
	c.requirement = versionRequirement{isRequired: true, version: engine.SoftwareVersion}
}

// logContinuation counts and logs whether a stream that broke off goes on.
func (d *Daemon) logContinuation(c *call, by string, failure *result.Error) {
	outcome := "continued"
	if failure != nil {
		outcome = failure.Code.String()
	}
	d.metrics.continuations.WithLabelValues(by, outcome).Inc()
	keyValues := []any{"request", c.id, "program", c.programID, "by", by, "takes_up", c.takesUp, "after_event", c.lastEventID, "backend", c.backend.Name,
		"software", c.requirement.version, "engines", d.engines.engineCount(c.backend.Name, c.requirement), "of", d.engines.engineCount(c.backend.Name, versionRequirement{})}
	if failure == nil {
		telemetry.InfoSampled(d.logger, c.id, "stream continued", keyValues...)
		return
	}
	telemetry.Warn(d.logger, "stream not continued", append(keyValues, "code", int(failure.Code), "err", failure.Error())...)
}
