// Package attempts decides when an attempt at an engine counts no longer towards the crash limit of its
// request: once the engine has outlived it. It has no clock and no connection of its own.
package attempts

import (
	"slices"
	"sync"
	"time"

	"github.com/ochrebay/ochrebay/internal/membership"
	"github.com/ochrebay/ochrebay/internal/program"
)

const (
	// RunEndGrace is how long after its deadline a run may still end its engine: the deadline reaches the engine
	// with a delay, and releasing what the run has used takes time.
	RunEndGrace = time.Second
	// maxOpen bounds the attempts of an OpenSet. Beyond it the others are forgotten there, and count until their
	// records expire.
	maxOpen = 4096
)

// Open is an attempt on record that its engine may not have outlived.
type Open struct {
	// Survived removes the attempt from its request's record.
	Survived             program.Crash
	RequestID, ProgramID string
	// SentAt is when the gateway began to send the attempt, and EndedAt when the attempt had ended for it.
	SentAt, EndedAt time.Time
	// RunDeadline is when the engine stops its run at the latest. That the connection was lost or the caller has
	// left, the engine may learn only then.
	RunDeadline time.Time
}

// OutlivedFrom returns the time from which the engine has outlived the attempt if it still runs.
func (o Open) OutlivedFrom() time.Time { return o.RunDeadline.Add(RunEndGrace) }

// SignOfLife is a response of an engine.
type SignOfLife struct {
	// ConnectionOpenedAt is when the connection of the response was opened, and RequestSentAt when the gateway
	// began to send the request.
	ConnectionOpenedAt, RequestSentAt time.Time
}

// shows reports whether a response of an engine shows that it has outlived an attempt. The request has to
// have been sent once the run of the attempt was over: a response to an earlier one only shows that the engine had not
// ended yet. And the process has to be the same. A connection from before the attempt shows that. A later one does
// if the engine refuses requests for other incarnations.
func (s SignOfLife) shows(attempt Open, engine membership.ServingEngine) bool {
	isSameProcess := engine.RefusesOtherIncarnations() || !s.ConnectionOpenedAt.After(attempt.SentAt)
	return isSameProcess && !s.RequestSentAt.Before(attempt.OutlivedFrom())
}

// OpenSet holds open attempts by the incarnation of their engine. It is safe for concurrent use.
type OpenSet struct {
	mutex    sync.Mutex
	byEngine map[string][]Open
	count    int
}

// NewOpenSet returns an empty set.
func NewOpenSet() *OpenSet { return &OpenSet{byEngine: map[string][]Open{}} }

// Add adds an attempt at an incarnation.
func (o *OpenSet) Add(incarnation string, attempt Open) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.count >= maxOpen {
		clear(o.byEngine)
		o.count = 0
	}
	o.byEngine[incarnation] = append(o.byEngine[incarnation], attempt)
	o.count++
}

// Has reports whether an incarnation has open attempts.
func (o *OpenSet) Has(incarnation string) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return len(o.byEngine[incarnation]) > 0
}

// Remove forgets the attempts at incarnations that have left. They stay on record.
func (o *OpenSet) Remove(incarnations []string) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	for _, incarnation := range incarnations {
		o.count -= len(o.byEngine[incarnation])
		delete(o.byEngine, incarnation)
	}
}

// TakeOutlived removes and returns the attempts that an engine has outlived, as a response of it shows.
func (o *OpenSet) TakeOutlived(engine membership.ServingEngine, sign SignOfLife) []Open {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.count == 0 {
		return nil
	}
	incarnation := engine.IncarnationKey()
	var outlived []Open
	left := slices.DeleteFunc(o.byEngine[incarnation], func(attempt Open) bool {
		isOutlived := sign.shows(attempt, engine)
		if isOutlived {
			outlived = append(outlived, attempt)
		}
		return isOutlived
	})
	o.count -= len(outlived)
	if o.byEngine[incarnation] = left; len(left) == 0 {
		delete(o.byEngine, incarnation)
	}
	return outlived
}
