// Package bytebudget bounds the memory that all calls of a process hold together. Each call grows its own
// reservation of the shared budget as it receives bytes.
package bytebudget

import "golang.org/x/sync/semaphore"

// AllowanceBytes is what a reservation holds without taking anything from the budget, so that calls of the
// usual size neither compete for it nor fail when it is used up.
const AllowanceBytes = 16 << 10

// Budget is a number of bytes that reservations share. It is safe for concurrent use.
type Budget struct {
	free *semaphore.Weighted
}

// New returns a budget of the given number of bytes.
func New(bytes int64) *Budget { return &Budget{free: semaphore.NewWeighted(bytes)} }

// Reserve returns an empty reservation. A nil budget has no bound.
func (b *Budget) Reserve() *Reservation { return &Reservation{budget: b} }

// Reservation is the part of a budget that one call has reserved. It must not be used concurrently.
type Reservation struct {
	budget *Budget
	taken  int64
}

// Grow reserves memory for a total of the given number of bytes, and returns false if the budget does not
// have them. It takes twice what is missing if it can, because the holder's buffer grows in the same way.
func (r *Reservation) Grow(total int64) bool {
	missing := total - AllowanceBytes - r.taken
	if missing <= 0 || r.budget == nil {
		return true
	}
	for _, step := range []int64{max(missing, r.taken), missing} {
		if r.budget.free.TryAcquire(step) {
			r.taken += step
			return true
		}
	}
	return false
}

// Release returns the reserved memory to the budget. The reservation is empty then.
func (r *Reservation) Release() {
	if r.taken > 0 {
		r.budget.free.Release(r.taken)
	}
	r.taken = 0
}
