package queue

// maxCredit is the maximum number of starts that a rank can be owed.
const maxCredit = 3.0

// Credits chooses the rank to serve next: the most urgent one, unless a less urgent one is
// owed a start by its floor. It is not safe for concurrent use.
type Credits struct {
	floors []float64
	// owed is the number of starts that each rank is owed by its floor.
	owed []float64
}

// NewCredits returns credits for ranks with the given floors: the minimum fraction of starts
// that each rank receives while it has waiting items, most urgent rank first.
func NewCredits(floors []float64) Credits {
	return Credits{floors: floors, owed: make([]float64, len(floors))}
}

// Next returns the rank to serve, or -1 if none waits. This is the most urgent rank that
// waits, unless a less urgent one that waits has a credit of at least one start. Of several
// such ranks the one with the highest credit is served, and on a tie the most urgent of
// them.
func (c Credits) Next(waits func(rank int) bool) int {
	urgent, owed := -1, -1
	for rank := range c.owed {
		if !waits(rank) {
			continue
		}
		if urgent < 0 {
			urgent = rank
			continue
		}
		if c.owed[rank] >= 1 && (owed < 0 || c.owed[rank] > c.owed[owed]) {
			owed = rank
		}
	}
	if owed >= 0 {
		return owed
	}
	return urgent
}

// Serve accounts for a start of the served rank. The credit of each rank that waits grows by
// its floor, up to maxCredit, and the served rank pays one start, down to zero: starts beyond
// its floor are not charged. A rank that doesn't wait loses its credit. Serve is called
// before the item to start is removed.
func (c Credits) Serve(served int, waits func(rank int) bool) {
	for rank := range c.owed {
		if !waits(rank) {
			c.owed[rank] = 0
			continue
		}
		c.owed[rank] = min(maxCredit, c.owed[rank]+c.floors[rank])
	}
	c.owed[served] = max(0, c.owed[served]-1)
}
