package bytebudget

import (
	"errors"
	"sync"
	"time"
)

const (
	// ProgressBytes is how much of a body has to arrive for its sender to have made progress, unless the body
	// ends before.
	ProgressBytes = 16 << 10
	// expectedBytesPerSecond is the rate of a sender that keeps up; below it, its delay grows.
	expectedBytesPerSecond = 64 << 10
	// toleratedDelay is the delay of a sender up to which its body does not give way to others.
	toleratedDelay = 500 * time.Millisecond
)

// Errors of a receipt.
var (
	// ErrNoMemory means that the budget has no memory for the rest of a body, and no other body gives way.
	ErrNoMemory = errors.New("bytebudget: no memory for the body")
	// ErrGaveWay means that a body gave way to others because its sender had made the least progress.
	ErrGaveWay = errors.New("bytebudget: the body gave way to others")
)

// ReceiveBudget bounds the memory of the bodies that a process is receiving or has received. While it is used
// up, the body whose sender is delayed most gives way to the others. It is safe for concurrent use.
//
// One body alone may exceed the budget, so that the budget refuses no body that the limits on a single request
// allow.
type ReceiveBudget struct {
	limit int64
	now   func() time.Time

	mutex sync.Mutex
	// released is signalled when memory was released or a receipt has to give way.
	released *sync.Cond
	taken    int64
	// yielding is the memory of the bodies that give way and have not been released yet.
	yielding  int64
	receiving map[*Receipt]struct{}
}

// NewReceiveBudget returns a budget of the given number of bytes.
func NewReceiveBudget(limit int64) *ReceiveBudget {
	b := &ReceiveBudget{limit: limit, now: time.Now, receiving: map[*Receipt]struct{}{}}
	b.released = sync.NewCond(&b.mutex)
	return b
}

// TakenBytes returns how much of the budget is taken, in bytes.
func (b *ReceiveBudget) TakenBytes() int64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.taken
}

// Receipt is the memory of one body. Its methods must not be called concurrently.
type Receipt struct {
	budget *ReceiveBudget
	// interrupt ends the read of the body that is in progress.
	interrupt func()
	taken     int64
	// hasToYield is true once the body has to give way.
	hasToYield bool
	startedAt  time.Time
	// progressAt is when the sender last made progress, and progressBytes how much of the body it had sent then.
	progressAt    time.Time
	progressBytes int64
	receivedBytes int64
}

// Receive returns the receipt of a body that begins to arrive, which takes no memory yet. interrupt is called at
// most once, if the body has to give way: it ends the read in progress and must not block.
func (b *ReceiveBudget) Receive(interrupt func()) *Receipt {
	now := b.now()
	r := &Receipt{budget: b, interrupt: interrupt, startedAt: now, progressAt: now}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.receiving[r] = struct{}{}
	return r
}

// Progress records how much of the body has arrived in all. It returns ErrGaveWay if the body has to give way.
func (r *Receipt) Progress(receivedBytes int64) error {
	r.budget.mutex.Lock()
	defer r.budget.mutex.Unlock()
	r.receivedBytes = receivedBytes
	if receivedBytes-r.progressBytes >= ProgressBytes {
		r.progressBytes = receivedBytes
		r.progressAt = r.budget.now()
	}
	if r.hasToYield {
		return ErrGaveWay
	}
	return nil
}

// Hold takes memory for a total of the given number of bytes, of which AllowanceBytes take nothing from the
// budget, or returns memory beyond it. It blocks until bodies that give way have been released. The error is
// ErrNoMemory or ErrGaveWay.
func (r *Receipt) Hold(total int64) error {
	b := r.budget
	b.mutex.Lock()
	defer b.mutex.Unlock()
	wanted := max(total-AllowanceBytes, 0)
	if wanted <= r.taken {
		b.taken -= r.taken - wanted
		r.taken = wanted
		b.released.Broadcast()
		return nil
	}
	for {
		if r.hasToYield {
			return ErrGaveWay
		}
		missing := wanted - r.taken
		if b.taken+missing <= b.limit || b.taken == r.taken {
			b.taken += missing
			r.taken = wanted
			return nil
		}
		for b.taken-b.yielding+missing > b.limit {
			victim := b.mostDelayed(r)
			if victim == nil {
				break
			}
			b.yield(victim)
		}
		if b.yielding == 0 || (b.taken-b.yielding+missing > b.limit && b.taken-b.yielding != r.taken) {
			return ErrNoMemory
		}
		b.released.Wait()
	}
}

// Complete records that the whole body has arrived. From now on it does not give way. The error is ErrGaveWay if
// it has to give way already.
func (r *Receipt) Complete() error {
	r.budget.mutex.Lock()
	defer r.budget.mutex.Unlock()
	if r.hasToYield {
		return ErrGaveWay
	}
	delete(r.budget.receiving, r)
	return nil
}

// Release returns the memory to the budget. The receipt must not be used afterwards; a second call does nothing.
func (r *Receipt) Release() {
	b := r.budget
	b.mutex.Lock()
	defer b.mutex.Unlock()
	delete(b.receiving, r)
	b.taken -= r.taken
	if r.hasToYield {
		b.yielding -= r.taken
	}
	r.taken = 0
	b.released.Broadcast()
}

// mostDelayed returns the body in arrival, other than the given one, that holds memory and whose sender is delayed
// most, nil if none is delayed by more than toleratedDelay.
func (b *ReceiveBudget) mostDelayed(other *Receipt) *Receipt {
	now := b.now()
	var victim *Receipt
	longest := toleratedDelay
	for candidate := range b.receiving {
		if candidate == other || candidate.hasToYield || candidate.taken == 0 {
			continue
		}
		if delay := candidate.delay(now); delay > longest {
			victim, longest = candidate, delay
		}
	}
	return victim
}

// delay returns how long the sender has made no progress, or by how much it is behind one that sends
// expectedBytesPerSecond, whichever is longer.
func (r *Receipt) delay(now time.Time) time.Duration {
	expected := time.Duration(r.receivedBytes) * time.Second / expectedBytesPerSecond
	return max(now.Sub(r.progressAt), now.Sub(r.startedAt)-expected)
}

// yield makes a body give way.
func (b *ReceiveBudget) yield(victim *Receipt) {
	victim.hasToYield = true
	b.yielding += victim.taken
	delete(b.receiving, victim)
	victim.interrupt()
	b.released.Broadcast()
}
