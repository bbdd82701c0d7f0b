package main

import (
	"math"
	"math/rand/v2"
	"time"
)

// curve is a model's demand over time. Its level is multiplied by a factor that changes
// linearly between random knots, by up to tenfold within an hour.
type curve struct {
	level float64
	knots []knot
}

// knot is the factor at one time.
type knot struct {
	at     time.Duration
	factor float64
}

// newCurve draws a curve of the given length. Knots lie 10 to 40 minutes apart. Factors are
// distributed uniformly on a logarithmic scale between 0.3 and 3.2, so that the factors of two
// successive knots may differ tenfold.
func newCurve(rng *rand.Rand, level float64, length time.Duration) curve {
	c := curve{level: level}
	for at := time.Duration(0); at < length+time.Hour; {
		c.knots = append(c.knots, knot{at, math.Pow(10, rng.Float64()-0.5)})
		at += 10*time.Minute + time.Duration(rng.Float64()*float64(30*time.Minute))
	}
	return c
}

// rate returns the demand in requests per second.
func (c curve) rate(at time.Duration) float64 {
	for i := 1; i < len(c.knots); i++ {
		a, b := c.knots[i-1], c.knots[i]
		if at < b.at {
			part := float64(at-a.at) / float64(b.at-a.at)
			return c.level * (a.factor + part*(b.factor-a.factor))
		}
	}
	return c.level
}

// poisson draws a number from the Poisson distribution with the given mean.
func poisson(rng *rand.Rand, mean float64) int {
	limit := math.Exp(-mean)
	n := 0
	for p := rng.Float64(); p > limit; p *= rng.Float64() {
		n++
	}
	return n
}
