package quota

import (
	"bytes"
	"cmp"
	"slices"

	"github.com/vmihailenco/msgpack/v5"
)

// Reservation is what an owner may grant of a tenant's limit within ReservationMs. One of
// nothing only tells that time has passed.
type Reservation struct {
	Tenant string `msgpack:"t"`
	Count  int64  `msgpack:"c"`
	Limit  Limit  `msgpack:"l"`
	// Term is the proposer's term and NowMs its steady clock, milliseconds: the two together
	// tell how much time has passed between two reservations of one proposer.
	Term  uint64 `msgpack:"m"`
	NowMs int64  `msgpack:"n"`
}

// reserved is one reservation as the state keeps it.
type reserved struct {
	AtMs  int64 `msgpack:"a"`
	Count int64 `msgpack:"c"`
}

// tenantState is what was reserved of one tenant lately, oldest first.
type tenantState struct {
	Tenant   string     `msgpack:"t"`
	Limit    Limit      `msgpack:"l"`
	Reserved []reserved `msgpack:"r"`
}

// State is the replicated part: the reservations that may still count. It is deterministic.
//
// Its clock advances only by what one proposer has measured between two of its own
// reservations: clocks of different machines are never compared. Invariant: the time
// between two reservations by this clock is at most the time that has passed, so that
// nothing is forgotten too early.
type State struct {
	windowMs int64
	clockMs  int64
	term     uint64
	lastMs   int64
	tenants  map[string]*tenantState
}

// NewState returns an empty state for limits over a window of milliseconds.
func NewState(windowMs int64) *State {
	return &State{windowMs: windowMs, tenants: map[string]*tenantState{}}
}

// Apply takes a reservation.
func (s *State) Apply(reservation Reservation) {
	if reservation.Term == s.term && reservation.NowMs > s.lastMs {
		s.clockMs += reservation.NowMs - s.lastMs
	}
	s.term, s.lastMs = reservation.Term, reservation.NowMs
	defer s.forget()
	if reservation.Count == 0 {
		return
	}
	known := s.tenants[reservation.Tenant]
	if known == nil {
		known = &tenantState{Tenant: reservation.Tenant}
		s.tenants[reservation.Tenant] = known
	}
	if reservation.Limit.Generation >= known.Limit.Generation {
		known.Limit = reservation.Limit
	}
	known.Reserved = append(known.Reserved, reserved{AtMs: s.clockMs, Count: reservation.Count})
}

// forget drops what counts in no window any more.
func (s *State) forget() {
	oldest := s.clockMs - s.windowMs - ReservationLifetimeMs
	for name, known := range s.tenants {
		first := slices.IndexFunc(known.Reserved, func(item reserved) bool { return item.AtMs >= oldest })
		if first < 0 {
			delete(s.tenants, name)
			continue
		}
		known.Reserved = known.Reserved[first:]
	}
}

// TenantCount returns how many tenants have reservations that may still count.
func (s *State) TenantCount() int { return len(s.tenants) }

// stateSnapshot is the encoded form, in an order that is the same on every replica.
type stateSnapshot struct {
	ClockMs int64          `msgpack:"c"`
	Term    uint64         `msgpack:"m"`
	LastMs  int64          `msgpack:"l"`
	Tenants []*tenantState `msgpack:"t"`
}

// Snapshot encodes the state.
func (s *State) Snapshot() ([]byte, error) {
	encoded := stateSnapshot{ClockMs: s.clockMs, Term: s.term, LastMs: s.lastMs}
	for _, known := range s.tenants {
		encoded.Tenants = append(encoded.Tenants, known)
	}
	slices.SortFunc(encoded.Tenants, func(a, b *tenantState) int { return cmp.Compare(a.Tenant, b.Tenant) })
	var buffer bytes.Buffer
	err := msgpack.NewEncoder(&buffer).Encode(&encoded)
	return buffer.Bytes(), err
}

// Restore replaces the state by a snapshot; empty data gives an empty state.
func (s *State) Restore(data []byte) error {
	var encoded stateSnapshot
	if len(data) > 0 {
		if err := msgpack.Unmarshal(data, &encoded); err != nil {
			return err
		}
	}
	s.clockMs, s.term, s.lastMs = encoded.ClockMs, encoded.Term, encoded.LastMs
	s.tenants = map[string]*tenantState{}
	for _, known := range encoded.Tenants {
		s.tenants[known.Tenant] = known
	}
	return nil
}
