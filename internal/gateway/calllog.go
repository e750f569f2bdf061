package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/ochrebay/ochrebay/internal/membership"
	"github.com/ochrebay/ochrebay/internal/result"
	"github.com/ochrebay/ochrebay/internal/telemetry"
	"github.com/ochrebay/ochrebay/internal/waiting"
)

// logCall writes the one log line that reports how a call ended, and records the call in the
// metrics. The line holds decisions and measurements, and no fields for steps that the call did not
// reach.
func (d *Daemon) logCall(c *call, request *http.Request, response *callerResponse, failure *result.Error, elapsed time.Duration) {
	id := request.Header.Get(d.headerNames.RequestID)
	keyValues := []any{"request", id}
	if c != nil {
		keyValues = append(keyValues, "route", c.route.Name, "generation", c.tableGeneration, "backend", c.backend.Name,
			"program", c.programID, "content", c.fingerprint, "attempts", c.attemptCount)
		if c.waitTime > 0 {
			keyValues = append(keyValues, "waited_ms", c.waitTime.Milliseconds())
		}
		keyValues = append(keyValues, d.tenantFields(c)...)
		keyValues = append(keyValues, c.takeUpFields()...)
		keyValues = append(keyValues, c.selectionFields()...)
		keyValues = append(keyValues, c.ledgerFields()...)
		keyValues = append(keyValues, c.bodyFields()...)
	}
	keyValues = append(keyValues, response.streamFields(c)...)
	keyValues = append(keyValues, "status", response.status, "events", response.events, "took", elapsed.Round(100*time.Microsecond).String())
	d.metrics.recordRequest(c, failure)
	if failure == nil {
		telemetry.InfoSampled(d.logger, id, "served", keyValues...)
		return
	}
	keyValues = append(keyValues, "code", int(failure.Code), "outcome", string(failure.Outcome), "err", failure.Error())
	telemetry.Warn(d.logger, "failed", keyValues...)
}

// tenantFields returns the tenant of the call, the age of the latest confirmation of the routing
// table and the time spent on the tenant's quota. It returns nothing if the table has no tenants or
// was never confirmed.
func (d *Daemon) tenantFields(c *call) []any {
	age, isConfirmed := d.confirmationAge()
	if !c.requiresKey || !isConfirmed {
		return nil
	}
	fields := []any{"proof_age_ms", age.Milliseconds()}
	if c.tenant != nil {
		fields = append(fields, "tenant", c.tenant.Name)
	}
	if c.quotaTime > 0 {
		fields = append(fields, "granted_ms", milliseconds(c.quotaTime), "queued", c.quotaQueued)
	}
	return fields
}

// selectionFields returns the figures behind the latest engine selection, nothing if no engine was
// selected.
func (c *call) selectionFields() []any {
	if c.attemptCount == 0 {
		return nil
	}
	return []any{
		"engine", c.engineID, "software", c.selection.engine.SoftwareVersion, "home", c.affineEngine, "in_flight", c.selection.inFlight, "candidates", c.selection.candidateCount,
		"company", int(c.selection.estimatedInFlight), "shared_age_ms", c.selection.sharedLoadAgeMs, "missing", c.selection.prefillTokens,
		"cost_ms", int64(c.selection.costMs), "next_cost_ms", int64(c.selection.nextBestCostMs), "home_cost_ms", int64(c.selection.affineEngineCostMs),
		"sent_ms", c.sentAfter.Milliseconds(), "slowness", formatRatio(c.selection.slowdown), "home_slowness", formatRatio(c.selection.affineEngineSlowdown),
		"moved", c.selection.moveReason, "turns_left", formatRatio(c.selection.remainingTurns), "holds", c.selection.requiredKVCacheTokens, "held_tokens", c.selection.reservedKVCacheTokens, "pushed", c.selection.preemptedTokens,
	}
}

// takeUpFields returns the stream that the caller takes up and the last event that it has, nothing
// if its stream begins with this request.
func (c *call) takeUpFields() []any {
	if c.takenUpAfter == 0 && c.takesUp == "" {
		return nil
	}
	return []any{"takes_up", c.takesUp, "after_event", c.takenUpAfter}
}

// formatRatio formats a ratio with two decimals.
func formatRatio(value float64) string { return strconv.FormatFloat(value, 'f', 2, 64) }

// ledgerFields returns how long the ledger took to open and to retain a turn.
func (c *call) ledgerFields() []any {
	if !c.isTurn() {
		return nil
	}
	fields := []any{"opened_ms", c.openedAfter.Milliseconds()}
	if c.retainTime > 0 {
		fields = append(fields, "kept_ms", c.retainTime.Milliseconds())
	}
	return fields
}

// bodyFields returns how the body of the latest response was framed and, if it stopped inside an event,
// how much of that event there was. It returns nothing if no engine responded.
func (c *call) bodyFields() []any {
	if c.framing == "" {
		return nil
	}
	fields := []any{"framing", string(c.framing)}
	if c.incompleteEventBytes > 0 {
		fields = append(fields, "incomplete_bytes", c.incompleteEventBytes)
	}
	return fields
}

// streamFields returns when the events of a stream were forwarded to the caller.
func (r *callerResponse) streamFields(c *call) []any {
	if c == nil || r.events == 0 {
		return nil
	}
	return []any{"first_event_ms", r.firstEventAt.Sub(c.startedAt).Milliseconds(), "events_ms", r.lastEventAt.Sub(r.firstEventAt).Milliseconds()}
}

// logAttempt counts an attempt and logs it unless it was answered.
func (d *Daemon) logAttempt(c *call, engine membership.ServingEngine, outcome attemptOutcome) {
	d.metrics.attempts.WithLabelValues(outcome.kind.String()).Inc()
	if c.framing != "" {
		d.metrics.responses.WithLabelValues(string(c.framing), outcome.kind.String()).Inc()
	}
	if outcome.kind == attemptAnswered {
		return
	}
	keyValues := []any{"request", c.id, "engine", engine.ID, "software", engine.SoftwareVersion, "address", engine.Address, "attempt", c.attemptCount,
		"program", c.programID, "content", c.fingerprint, "engine_state", outcome.engineState.String(), "outcome", outcome.kind.String(), "status", outcome.status, "started", outcome.responseStarted, "last_event", c.lastEventID}
	keyValues = append(keyValues, c.bodyFields()...)
	telemetry.Warn(d.logger, "attempt failed", append(keyValues, "err", outcome.err)...)
}

// logRejection logs a call that the wait queue rejected, on arrival or after it had waited.
func (d *Daemon) logRejection(c *call, rejection *waiting.Rejection) {
	telemetry.Warn(d.logger, "wait rejected", "request", c.id, "backend", c.backend.Name, "rank", c.priority(), "begun", c.programInProgress, "above_share", c.aboveFairShare,
		"waited_ms", c.waitTime.Milliseconds(), "ahead", rejection.Ahead, "room_per_s", rejection.CompletionsPerSecond,
		"chance", rejection.Probability, "time_left_ms", c.timeLeft().Milliseconds(), "retry_after_ms", rejection.RetryAfterMs)
}

// maxLoggedEngines bounds the engines that one log line names.
const maxLoggedEngines = 32

// logEnginesLeft logs the incarnations that the fleet view holds no longer, so that attempts at them can
// be related to their end.
func (d *Daemon) logEnginesLeft(incarnations []string) {
	if len(incarnations) == 0 {
		return
	}
	named := incarnations[:min(len(incarnations), maxLoggedEngines)]
	telemetry.Info(d.logger, "engines left", "count", len(incarnations), "engines", strings.Join(named, ","))
}

func (d *Daemon) logFailure(message string, c *call, failure *result.Error) {
	telemetry.Warn(d.logger, message, "request", c.id, "program", c.programID, "code", int(failure.Code), "err", failure.Error())
}
