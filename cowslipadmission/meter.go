package cowslipadmission

import (
	"math"
	"time"
)

// meterTime is the time over which a rate is estimated if a meter does not say otherwise.
const meterTime = time.Second

// meter estimates a rate, decayed over some time. Its zero value has seen nothing.
type meter struct {
	over      time.Duration // meterTime if 0
	perSecond float64
	at        time.Time
}

// add counts n at now.
func (m *meter) add(now time.Time, n float64) {
	m.perSecond = m.rate(now) + n/m.seconds()
	m.at = now
}

// rate returns the estimate at now.
func (m *meter) rate(now time.Time) float64 {
	d := now.Sub(m.at)
	if d <= 0 || m.perSecond == 0 {
		return m.perSecond
	}
	return m.perSecond * math.Exp(-d.Seconds()/m.seconds())
}

func (m *meter) seconds() float64 {
	if m.over == 0 {
		return meterTime.Seconds()
	}
	return m.over.Seconds()
}
