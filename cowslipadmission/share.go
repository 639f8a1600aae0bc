package cowslipadmission

// floorShare is the part of the share served of all requests that each priority and each
// workspace gets at least. Three tenths are promised; the rest allows for estimates that
// are off.
const floorShare = 0.35

// claim is a demand that competes for capacity.
type claim struct {
	demand float64
	weight float64
	of     *claim  // of the whole that this is a part of; nil if there is none
	share  float64 // set by divide: how much of the demand is served, from 0 to 1
}

// divide shares capacity among the claims by max-min fairness: the same rate for each unit of
// weight, and what one does not need is free for the others. Each gets at least the floor,
// as a share of its demand.
func divide(l []*claim, capacity, floor float64) {
	lo, hi := 0.0, 0.0
	for _, c := range l {
		hi = max(hi, c.demand/c.weight)
	}
	// Halving the interval 30 times leaves an error of a billionth of the greatest demand.
	for range 30 {
		level := (lo + hi) / 2
		if sumAt(l, level, floor) > capacity {
			hi = level
		} else {
			lo = level
		}
	}
	sumAt(l, hi, floor)
}

// sumAt sets the shares for a rate per unit of weight and returns what they add up to.
func sumAt(l []*claim, level, floor float64) float64 {
	sum := 0.0
	for _, c := range l {
		c.share = 1
		if c.demand > 0 {
			c.share = min(max(level*c.weight/c.demand, floor), 1)
		}
		sum += c.share * c.demand
	}
	return sum
}
