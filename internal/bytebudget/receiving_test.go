package bytebudget

import (
	"errors"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// testClock is a clock that tests set.
type testClock struct {
	mutex sync.Mutex
	now   time.Time
}

func (c *testClock) read() time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.now
}

func (c *testClock) advance(duration time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.now = c.now.Add(duration)
}

// testBody is a body in a model of the budget.
type testBody struct {
	receipt    *Receipt
	held       int64
	received   int64
	isComplete bool
	gaveWay    bool
}

// TestReceiveBudgetProperty guards against bodies that together hold more than the budget, against bodies that give
// way although their senders keep up or have sent all, and against memory that is not returned.
func TestReceiveBudgetProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Int64Range(1<<20, 64<<20).Draw(t, "limit")
		clock := &testClock{now: time.Unix(1000, 0)}
		budget := NewReceiveBudget(limit)
		budget.now = clock.read
		bodies := map[*testBody]bool{}
		newBody := func() *testBody {
			body := &testBody{}
			body.receipt = budget.Receive(func() {
				// The budget holds its mutex, under which the state of the body can be read.
				if body.isComplete {
					t.Fatal("a complete body gives way")
				}
				if delay := body.receipt.delay(clock.read()); delay <= toleratedDelay {
					t.Fatalf("a body whose sender is delayed by %s gives way", delay)
				}
				body.gaveWay = true
				go body.receipt.Release()
			})
			bodies[body] = true
			return body
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			clock.advance(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			var body *testBody
			position := rapid.IntRange(0, len(bodies)).Draw(t, "body")
			for candidate := range bodies {
				if position--; position < 0 {
					body = candidate
				}
			}
			if body == nil {
				body = newBody()
			}
			if body.gaveWay {
				if err := body.receipt.Progress(body.received + 1); !errors.Is(err, ErrGaveWay) {
					t.Fatalf("a body that gave way goes on: %v", err)
				}
				delete(bodies, body)
				continue
			}
			switch rapid.IntRange(0, 5).Draw(t, "action") {
			case 0:
				body.receipt.Release()
				delete(bodies, body)
			case 1:
				if err := body.receipt.Complete(); err != nil {
					t.Fatal(err)
				}
				body.isComplete = true
			default:
				total := rapid.Int64Range(0, limit).Draw(t, "total")
				err := body.receipt.Hold(total)
				switch {
				case err == nil:
					body.held = total
				case !errors.Is(err, ErrNoMemory):
					t.Fatal(err)
				case total <= body.held:
					t.Fatal("memory that is returned is refused")
				}
				if !body.isComplete && total > body.received && err == nil {
					body.received = total
					if err := body.receipt.Progress(total); err != nil {
						t.Fatal(err)
					}
				}
			}
			sum, holders := int64(0), 0
			for other := range bodies {
				if !other.gaveWay && other.held > AllowanceBytes {
					sum += other.held - AllowanceBytes
					holders++
				}
			}
			if sum > limit && holders > 1 {
				t.Fatalf("%d bodies hold %d bytes of a budget of %d", holders, sum, limit)
			}
		}
		for body := range bodies {
			body.receipt.Release()
		}
		budget.mutex.Lock()
		defer budget.mutex.Unlock()
		for budget.yielding > 0 {
			budget.released.Wait()
		}
		if budget.taken != 0 || len(budget.receiving) != 0 {
			t.Fatalf("%d bytes and %d receipts were not returned", budget.taken, len(budget.receiving))
		}
	})
}

// TestReceiveBudgetOneBodyAlone guards against a body inside the limits of a request that is refused in calm because
// it is larger than the budget.
func TestReceiveBudgetOneBodyAlone(t *testing.T) {
	budget := NewReceiveBudget(1 << 20)
	alone := budget.Receive(func() { t.Error("a body that is alone gives way") })
	if err := alone.Hold(64 << 20); err != nil {
		t.Fatal(err)
	}
	if err := alone.Complete(); err != nil {
		t.Fatal(err)
	}
	other := budget.Receive(func() {})
	if err := other.Hold(AllowanceBytes); err != nil {
		t.Errorf("a small body beside it: %v", err)
	}
	if err := other.Hold(2 << 20); !errors.Is(err, ErrNoMemory) {
		t.Errorf("a large body beside it: %v", err)
	}
}

// TestReceiveBudgetYieldOrder guards against an ordinary sender that gives way in place of one that sends a byte now and
// then, has stopped, or has come back at once.
func TestReceiveBudgetYieldOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const bodyBytes = 1 << 20
		clock := &testClock{now: time.Unix(1000, 0)}
		budget := NewReceiveBudget(4 * bodyBytes)
		budget.now = clock.read
		yielded := make(chan string, 8)
		receive := func(name string) *Receipt {
			var receipt *Receipt
			receipt = budget.Receive(func() {
				yielded <- name
				go receipt.Release()
			})
			return receipt
		}
		stalled := receive("stalled")
		trickling := receive("trickling")
		steady := receive("steady")
		for _, receipt := range []*Receipt{stalled, trickling, steady} {
			if err := receipt.Hold(bodyBytes); err != nil {
				t.Fatal(err)
			}
		}
		received := map[*Receipt]int64{}
		send := func(receipt *Receipt, bytes int64) {
			received[receipt] += bytes
			if err := receipt.Progress(received[receipt]); err != nil {
				t.Fatal(err)
			}
		}
		send(stalled, rapid.Int64Range(ProgressBytes, bodyBytes).Draw(t, "bytes of the stalled one"))
		for range rapid.IntRange(10, 100).Draw(t, "steps") {
			clock.advance(100 * time.Millisecond)
			send(trickling, 1)
			send(steady, rapid.Int64Range(ProgressBytes, 4*ProgressBytes).Draw(t, "bytes of the steady one"))
		}
		newcomer := receive("newcomer")
		if err := newcomer.Hold(3 * bodyBytes); err != nil {
			t.Fatal(err)
		}
		first, second := <-yielded, <-yielded
		if first == "steady" || second == "steady" || first == "newcomer" || second == "newcomer" {
			t.Fatalf("%s and %s gave way", first, second)
		}
		if err := receive("another").Hold(2 * bodyBytes); !errors.Is(err, ErrNoMemory) {
			t.Fatalf("nobody is delayed, but a body got memory: %v", err)
		}
	})
}

// TestReceiveBudgetSlowSenderGivesWay guards against a sender that keeps its memory for as long as it likes because it
// sends just enough for progress.
func TestReceiveBudgetSlowSenderGivesWay(t *testing.T) {
	clock := &testClock{now: time.Unix(1000, 0)}
	budget := NewReceiveBudget(1 << 20)
	budget.now = clock.read
	var slow *Receipt
	gaveWay := make(chan struct{})
	slow = budget.Receive(func() {
		close(gaveWay)
		go slow.Release()
	})
	if err := slow.Hold(1 << 20); err != nil {
		t.Fatal(err)
	}
	const pieces = 40
	for piece := range int64(pieces) {
		clock.advance(toleratedDelay - time.Millisecond)
		if err := slow.Progress((piece + 1) * ProgressBytes); err != nil {
			t.Fatal(err)
		}
	}
	if err := budget.Receive(func() {}).Hold(1 << 20); err != nil {
		t.Fatal(err)
	}
	<-gaveWay
}
