package bytebudget

import (
	"testing"

	"pgregory.net/rapid"
)

// TestBudgetProperty guards against reservations that together hold more than the budget beyond their
// allowances, and against bytes that are not returned.
func TestBudgetProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const budgetBytes = 1 << 20
		budget := New(budgetBytes)
		reservations := make([]*Reservation, 8)
		held := make([]int64, len(reservations))
		for position := range reservations {
			reservations[position] = budget.Reserve()
		}
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			position := rapid.IntRange(0, len(reservations)-1).Draw(t, "position")
			if rapid.IntRange(0, 3).Draw(t, "release") == 0 {
				reservations[position].Release()
				held[position] = 0
				continue
			}
			total := held[position] + rapid.Int64Range(1, budgetBytes/2).Draw(t, "more")
			if reservations[position].Grow(total) {
				held[position] = total
			}
			sum := int64(0)
			for _, bytes := range held {
				sum += max(bytes-AllowanceBytes, 0)
			}
			if sum > budgetBytes {
				t.Fatalf("%d bytes are held of a budget of %d", sum, budgetBytes)
			}
		}
		for _, reservation := range reservations {
			reservation.Release()
		}
		if whole := budget.Reserve(); !whole.Grow(budgetBytes + AllowanceBytes) {
			t.Fatal("bytes were not returned")
		}
	})
}
