package gateway

import (
	"net/http"
	"strconv"
	"time"

	"github.com/ochrebay/ochrebay/internal/membership"
	"github.com/ochrebay/ochrebay/internal/result"
	"github.com/ochrebay/ochrebay/internal/telemetry"
	"github.com/ochrebay/ochrebay/internal/waiting"
)

// logCall writes the one line that says how a call ended. It holds what was decided and
// measured, and no key for what the call did not come to.
func (d *Daemon) logCall(c *call, request *http.Request, out *answer, failure *result.Error, took time.Duration) {
	id := request.Header.Get(d.headers.RequestID)
	keyValues := []any{"request", id}
	if c != nil {
		keyValues = append(keyValues, "route", c.route.Name, "generation", c.generation, "backend", c.backend.Name,
			"program", c.program, "attempts", c.attempts)
		if c.waited > 0 {
			keyValues = append(keyValues, "waited_ms", c.waited.Milliseconds())
		}
		keyValues = append(keyValues, d.tenantFields(c)...)
		keyValues = append(keyValues, c.choiceFields()...)
		keyValues = append(keyValues, c.ledgerFields()...)
	}
	keyValues = append(keyValues, out.streamFields(c)...)
	keyValues = append(keyValues, "status", out.status, "events", out.events, "took", took.Round(100*time.Microsecond).String())
	d.metrics.ended(c, failure)
	if failure == nil {
		telemetry.Calm(d.logger, id, "served", keyValues...)
		return
	}
	keyValues = append(keyValues, "code", int(failure.Code), "outcome", string(failure.Outcome), "err", failure.Error())
	telemetry.Warn(d.logger, "failed", keyValues...)
}

// tenantFields say who asked and how sure the gateway was of its keys, nothing where the
// table has no tenants.
func (d *Daemon) tenantFields(c *call) []any {
	age, known := d.proofAge()
	if !c.keyed || !known {
		return nil
	}
	fields := []any{"proof_age_ms", age.Milliseconds()}
	if c.tenant != nil {
		fields = append(fields, "tenant", c.tenant.Name)
	}
	if c.granted > 0 {
		fields = append(fields, "granted_ms", milliseconds(c.granted), "queued", c.queued)
	}
	return fields
}

// choiceFields say what decided for the engine that was sent the call last, nothing where
// none was chosen.
func (c *call) choiceFields() []any {
	if c.attempts == 0 {
		return nil
	}
	return []any{
		"engine", c.engine, "home", c.home, "in_flight", c.chosen.inFlight, "candidates", c.chosen.candidates,
		"company", int(c.chosen.company), "shared_age_ms", c.chosen.sharedAgeMs, "missing", c.chosen.missing,
		"cost_ms", int64(c.chosen.cost), "next_cost_ms", int64(c.chosen.nextCost), "home_cost_ms", int64(c.chosen.homeCost),
		"sent_ms", c.sent.Milliseconds(), "slowness", decimals(c.chosen.slowness), "home_slowness", decimals(c.chosen.homeSlowness),
		"moved", c.chosen.moved, "turns_left", decimals(c.chosen.turns), "holds", c.chosen.holds, "held_tokens", c.chosen.heldTokens, "pushed", c.chosen.pushed,
	}
}

// decimals shortens a ratio for the log.
func decimals(value float64) string { return strconv.FormatFloat(value, 'f', 2, 64) }

// ledgerFields say how long the ledger took for a turn.
func (c *call) ledgerFields() []any {
	if !c.isTurn() {
		return nil
	}
	fields := []any{"opened_ms", c.opened.Milliseconds()}
	if c.kept > 0 {
		fields = append(fields, "kept_ms", c.kept.Milliseconds())
	}
	return fields
}

// streamFields say when the events of a stream were passed on.
func (a *answer) streamFields(c *call) []any {
	if c == nil || a.events == 0 {
		return nil
	}
	return []any{"first_event_ms", a.firstEvent.Sub(c.started).Milliseconds(), "events_ms", a.lastEvent.Sub(a.firstEvent).Milliseconds()}
}

// logAttempt writes one line for a send that did not end well.
func (d *Daemon) logAttempt(c *call, engine membership.ServingEngine, outcome attemptOutcome) {
	d.metrics.attempts.WithLabelValues(outcome.kind.String()).Inc()
	if outcome.kind == attemptAnswered {
		return
	}
	telemetry.Warn(d.logger, "attempt failed", "request", c.id, "engine", engine.ID, "address", engine.Address, "attempt", c.attempts,
		"outcome", outcome.kind.String(), "status", outcome.status, "started", outcome.started, "err", outcome.err)
}

// logRejection writes one line for a call that did not wait, or no longer, for room.
func (d *Daemon) logRejection(c *call, rejection *waiting.Rejection) {
	telemetry.Warn(d.logger, "wait rejected", "request", c.id, "backend", c.backend.Name, "rank", c.priority(), "begun", c.begun, "above_share", c.aboveShare,
		"waited_ms", c.waited.Milliseconds(), "ahead", rejection.Ahead, "room_per_s", rejection.CompletionsPerSecond,
		"chance", rejection.Probability, "time_left_ms", c.timeLeft().Milliseconds(), "retry_after_ms", rejection.RetryAfterMs)
}

func (d *Daemon) logFailure(message string, c *call, failure *result.Error) {
	telemetry.Warn(d.logger, message, "request", c.id, "program", c.program, "code", int(failure.Code), "err", failure.Error())
}
