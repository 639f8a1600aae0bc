package cowslipadmission

import "math"

const (
	// maxQueueFactor bounds the queue that a target may report, in multiples of its slots.
	maxQueueFactor = 10
	// queueSteps is the resolution of a queue per slot.
	queueSteps = 4
	// countedShare is the share of the reports that counts, those of the shortest queues. The
	// others may come from single slow targets, which requests can avoid.
	countedShare = 0.8
)

// queues is a histogram of the queues that targets reported, per slot.
type queues struct {
	count  [maxQueueFactor*queueSteps + 1]float64
	weight float64
	busy   float64 // weight of the reports of targets whose slots were all in use
}

// add adds a report.
func (q *queues) add(running, waiting, slots int, weight float64) {
	perSlot := math.Min(float64(waiting)/float64(slots), maxQueueFactor)
	q.count[int(perSlot*queueSteps)] += weight
	q.weight += weight
	if running >= slots || waiting > 0 {
		q.busy += weight
	}
}

// scale multiplies all weights by a factor.
func (q *queues) scale(factor float64) {
	for i := range q.count {
		q.count[i] *= factor
	}
	q.weight *= factor
	q.busy *= factor
}

// usual returns the mean of the shortest queues, countedShare of all.
func (q *queues) usual() float64 {
	left, sum := countedShare*q.weight, 0.0
	if left <= 0 {
		return 0
	}
	for i, n := range q.count {
		n = min(n, left)
		sum += n * float64(i) / queueSteps
		if left -= n; left <= 0 {
			break
		}
	}
	return sum / (countedShare * q.weight)
}

// busyShare returns the share of the reports whose targets had no free slot.
func (q *queues) busyShare() float64 {
	if q.weight == 0 {
		return 0
	}
	return q.busy / q.weight
}
