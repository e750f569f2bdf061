package quota

import (
	"bytes"
	"cmp"
	"slices"

	"github.com/vmihailenco/msgpack/v5"
)

// Reservation is the number of requests that an owner may grant from a tenant's limit within
// ReservationLifetimeMs. A reservation with Count 0 only records that time has passed.
type Reservation struct {
	Tenant string `msgpack:"t"`
	Count  int64  `msgpack:"c"`
	Limit  Limit  `msgpack:"l"`
	// Term is the proposer's term and NowMs its monotonic clock in milliseconds. Together they
	// give the time that has passed between two reservations of one proposer.
	Term  uint64 `msgpack:"m"`
	NowMs int64  `msgpack:"n"`
}

// storedReservation is a reservation as stored in the state.
type storedReservation struct {
	AtMs  int64 `msgpack:"a"`
	Count int64 `msgpack:"c"`
}

// tenantState holds the recent reservations of one tenant, oldest first.
type tenantState struct {
	Tenant   string              `msgpack:"t"`
	Limit    Limit               `msgpack:"l"`
	Reserved []storedReservation `msgpack:"r"`
}

// State is the replicated state: the reservations that may still count. It is deterministic.
//
// Its clock advances only by the time that one proposer has measured between two of its own
// reservations; clocks of different machines are never compared. Invariant: the time between two
// reservations by this clock is at most the time that has really passed, so that no reservation
// is removed too early.
type State struct {
	windowMs       int64
	clockMs        int64
	lastTerm       uint64
	lastProposalMs int64
	tenants        map[string]*tenantState
}

// NewState returns an empty state for limits over a window of windowMs milliseconds.
func NewState(windowMs int64) *State {
	return &State{windowMs: windowMs, tenants: map[string]*tenantState{}}
}

// Apply applies a committed reservation.
func (s *State) Apply(reservation Reservation) {
	if reservation.Term == s.lastTerm && reservation.NowMs > s.lastProposalMs {
		s.clockMs += reservation.NowMs - s.lastProposalMs
	}
	s.lastTerm, s.lastProposalMs = reservation.Term, reservation.NowMs
	defer s.removeExpired()
	if reservation.Count == 0 {
		return
	}
	tenant := s.tenants[reservation.Tenant]
	if tenant == nil {
		tenant = &tenantState{Tenant: reservation.Tenant}
		s.tenants[reservation.Tenant] = tenant
	}
	if reservation.Limit.Generation >= tenant.Limit.Generation {
		tenant.Limit = reservation.Limit
	}
	tenant.Reserved = append(tenant.Reserved, storedReservation{AtMs: s.clockMs, Count: reservation.Count})
}

// removeExpired removes the reservations that no longer count in any window.
func (s *State) removeExpired() {
	oldest := s.clockMs - s.windowMs - ReservationLifetimeMs
	for name, tenant := range s.tenants {
		first := slices.IndexFunc(tenant.Reserved, func(item storedReservation) bool { return item.AtMs >= oldest })
		if first < 0 {
			delete(s.tenants, name)
			continue
		}
		tenant.Reserved = tenant.Reserved[first:]
	}
}

// TenantCount returns the number of tenants with reservations that may still count.
func (s *State) TenantCount() int { return len(s.tenants) }

// stateSnapshot is the state as it is encoded. Tenants is sorted by name, so that the encoding is
// the same on every replica.
type stateSnapshot struct {
	ClockMs int64          `msgpack:"c"`
	Term    uint64         `msgpack:"m"`
	LastMs  int64          `msgpack:"l"`
	Tenants []*tenantState `msgpack:"t"`
}

// Snapshot returns the encoded state.
func (s *State) Snapshot() ([]byte, error) {
	encoded := stateSnapshot{ClockMs: s.clockMs, Term: s.lastTerm, LastMs: s.lastProposalMs}
	for _, tenant := range s.tenants {
		encoded.Tenants = append(encoded.Tenants, tenant)
	}
	slices.SortFunc(encoded.Tenants, func(a, b *tenantState) int { return cmp.Compare(a.Tenant, b.Tenant) })
	var buffer bytes.Buffer
	err := msgpack.NewEncoder(&buffer).Encode(&encoded)
	return buffer.Bytes(), err
}

// Restore replaces the state by a snapshot. Empty data gives an empty state.
func (s *State) Restore(data []byte) error {
	var encoded stateSnapshot
	if len(data) > 0 {
		if err := msgpack.Unmarshal(data, &encoded); err != nil {
			return err
		}
	}
	s.clockMs, s.lastTerm, s.lastProposalMs = encoded.ClockMs, encoded.Term, encoded.LastMs
	s.tenants = map[string]*tenantState{}
	for _, tenant := range encoded.Tenants {
		s.tenants[tenant.Tenant] = tenant
	}
	return nil
}
