// Package scheduler owns SNF-ICON: the order of waiting work, where it goes,
// what is rented and given back, the screen, the spare target. It is pure: it
// reads the ledger and returns decisions.
package scheduler

import (
	"maps"
	"math"
	"slices"
	"sort"

	"gonum.org/v1/gonum/stat"

	"firwood.dev/firwood/internal/clock"
)

// Params are the settings of the model; the paper's symbols are in the names
// of the operators' file.
type Params struct {
	Alpha, Beta float64
	IdleWait    clock.Micros
	// LaxIdleWait is the idle wait where users expect no start sooner than a
	// machine boots.
	LaxIdleWait          clock.Micros
	Window, Recency      clock.Micros
	SpareMin, SpareMax   int
	MinSamples, MaxCount int
	CV, Lag, KS          float64
	SmoothArrival        float64
	SmoothService        float64
	SmoothNeed           float64
	Horizon              clock.Micros
	// SpotPatience is how long a job that may use spot machines waits for one
	// before an ordinary machine is rented for it.
	SpotPatience clock.Micros
	// AgeAfter is how long a job waits for its first start before it goes first
	// within its rank; 0: never.
	AgeAfter clock.Micros
	// GangWeight is what a second of a gang's wait weighs, in seconds of other work
	// on as many machines.
	GangWeight float64
}

// sample is an observation with its time.
type sample struct {
	at clock.Micros
	v  float64
}

// Series is a window of recent observations.
type Series struct{ s []sample }

// Add appends an observation.
func (s *Series) Add(at clock.Micros, v float64) { s.s = append(s.s, sample{at, v}) }

func (s *Series) trim(now, window clock.Micros, most int) {
	i := 0
	for i < len(s.s) && s.s[i].at < now-window {
		i++
	}
	// The bound caps the samples during bursts (paper, IV-A): the newest count.
	// Where thousands of tasks end in a window, rejecting it would close the
	// screen for good.
	i = max(i, len(s.s)-most)
	if i > 0 {
		s.s = append(s.s[:0], s.s[i:]...)
	}
}

// Verdict is what the screen says of a series (paper, IV-A).
type Verdict struct {
	OK     bool
	Reason string // empty if OK
	N      int
	CV     float64
	Lag    float64
	KS     float64
}

// Screen tests a series for an exponential fit: enough samples (Definition 4),
// a coefficient of variation near 1 (6), little lag-one correlation (9), a
// small Kolmogorov-Smirnov distance (10).
func (s *Series) Screen(p *Params, now clock.Micros) Verdict {
	s.trim(now, p.Window, p.MaxCount)
	x := make([]float64, len(s.s))
	for i := range s.s {
		x[i] = s.s[i].v
	}
	return screen(x, p)
}

func screen(x []float64, p *Params) Verdict {
	v := Verdict{N: len(x)}
	if v.N < p.MinSamples {
		v.Reason = "too few samples"
		return v
	}
	mean := stat.Mean(x, nil)
	if mean <= 0 {
		v.Reason = "no spread"
		return v
	}
	var ss float64
	for _, e := range x {
		ss += (e - mean) * (e - mean)
	}
	v.CV = math.Sqrt(ss/float64(v.N)) / mean
	if c := stat.Correlation(x[:v.N-1], x[1:], nil); !math.IsNaN(c) {
		v.Lag = c
	}
	sorted := append([]float64(nil), x...)
	sort.Float64s(sorted)
	for i, e := range sorted {
		f := 1 - math.Exp(-e/mean)
		v.KS = max(v.KS, f-float64(i)/float64(v.N), float64(i+1)/float64(v.N)-f)
	}
	switch {
	case math.Abs(v.CV-1) > p.CV:
		v.Reason = "variation"
	case math.Abs(v.Lag) > p.Lag:
		v.Reason = "correlation"
	case v.KS > p.KS/math.Sqrt(float64(v.N)):
		v.Reason = "distance"
	default:
		v.OK = true
	}
	return v
}

// RunTimes predicts run times of one class from the log ratio of actual to
// estimated ones (paper, appendix A).
type RunTimes struct {
	n    int
	m, q float64
}

// State is what has been learnt, for another to go on with.
func (r *RunTimes) State() (n int, mean, square float64) { return r.n, r.m, r.q }

// GoOn takes what another has learnt, unless something is known already. A mean square
// below the square of the mean cannot be.
func (r *RunTimes) GoOn(n int, mean, square float64) {
	if r.n == 0 && n > 0 && !math.IsNaN(mean) && math.Abs(mean) < 20 && square >= mean*mean*(1-1e-9) && square < 1000 {
		r.n, r.m, r.q = n, mean, square
	}
}

const sigmaMin = 0.25

// Observe takes the run time of a completed task.
func (r *RunTimes) Observe(estimate, actual, smooth float64) {
	if estimate <= 0 || actual <= 0 {
		return
	}
	y := math.Log(actual / estimate)
	if r.n == 0 {
		r.m, r.q = y, y*y
	} else {
		r.m += smooth * (y - r.m)
		r.q += smooth * (y*y - r.q)
	}
	r.n++
}

func (r *RunTimes) sigma() float64 {
	if r.n < 2 {
		return 0.5 // estimates are often wrong by half
	}
	return math.Sqrt(max(sigmaMin*sigmaMin, r.q-r.m*r.m))
}

// Predict is the predicted run time of a waiting task (46).
func (r *RunTimes) Predict(estimate float64) float64 { return estimate * math.Exp(r.m) }

func survival(u float64) float64 { return math.Erfc(u/math.Sqrt2) / 2 }

// Remaining is the expected rest of a run, given its age (50), (51).
func (r *RunTimes) Remaining(estimate, age float64) float64 {
	if estimate <= 0 {
		return math.Inf(1)
	}
	s := r.sigma()
	theta := math.Log(estimate) + r.m
	mean := math.Exp(theta + s*s/2)
	if age <= 0 {
		return mean
	}
	z := (math.Log(age) - theta) / s
	num, den := survival(z-s), survival(z)
	if den < 1e-12 {
		return age * s / max(z, 1) // the tail, where the ratio has no digits left
	}
	return max(mean*num/den-age, 0)
}

// Demand is the model of one kind of demand: jobs that may use spot machines,
// or those that may not.
type Demand struct {
	Gaps, Runs  Series
	lastArrival clock.Micros
	gap         float64 // EMA, seconds
	run         float64 // EMA, seconds
	gaps        int
	needs       map[int]float64
	unit        float64 // EMA of the part of a machine that is used of each asked for
	wait        float64 // shortest wait expected of its classes, 0: none
}

// Arrived takes an arrival of a job that needs r machines, and so much of them
// in all.
func (d *Demand) Arrived(now clock.Micros, r int, share float64, p *Params) {
	part := min(max(share/float64(max(r, 1)), 0.01), 1)
	if d.unit == 0 {
		d.unit = part
	} else {
		d.unit += p.SmoothNeed * (part - d.unit)
	}
	if d.lastArrival != 0 {
		g := (now - d.lastArrival).Seconds()
		d.Gaps.Add(now, g)
		if d.gaps == 0 {
			d.gap = g
		} else {
			d.gap += p.SmoothArrival * (g - d.gap)
		}
		d.gaps++
	}
	d.lastArrival = now
	if d.needs == nil {
		d.needs = map[int]float64{r: 1}
		return
	}
	for k, w := range d.needs {
		w *= 1 - p.SmoothNeed
		if w < 1e-4 {
			delete(d.needs, k)
		} else {
			d.needs[k] = w
		}
	}
	d.needs[r] += p.SmoothNeed
}

// Finished takes the run time of a completed task.
func (d *Demand) Finished(seconds float64, p *Params) {
	if d.run == 0 {
		d.run = seconds
	} else {
		d.run += p.SmoothService * (seconds - d.run)
	}
}

// Recent is the arrival-recency gate (Definition 7).
func (d *Demand) Recent(now clock.Micros, p *Params) bool {
	return d.lastArrival != 0 && now-d.lastArrival <= p.Recency
}

// Rate is the estimated arrival rate (17).
func (d *Demand) Rate() float64 {
	if d.gaps == 0 {
		return 0
	}
	return 1 / max(d.gap, 1e-3)
}

// SpareInput is what the choice of the spare target rests on.
type SpareInput struct {
	// Unit is the machine that spares are counted in: the part of a machine
	// that jobs use of each one that they ask for. Several tasks share a
	// machine here, which the paper's jobs do not.
	Unit    float64
	Lambda  float64         // arrivals a second
	LambdaC float64         // completions a second
	Needs   map[int]float64 // weight of a next job that asks for r machines
	Ready   int             // spare machines ready now
	Booting []float64       // seconds until each booting machine is ready
	BootS   float64         // seconds until a machine rented now is ready
	Horizon float64         // seconds; 0: none
}

// SpareCost is the cost of one candidate target.
type SpareCost struct {
	X       int
	W, E, J float64
}

// unfinished is the part of a transition of d seconds that is still left at
// the next event (59).
func unfinished(d, rate float64) float64 {
	if rate <= 0 {
		return 0
	}
	return d - (1-math.Exp(-rate*d))/rate
}

// Cost works out J for one target (34), (35), (37), (39).
func (in *SpareInput) Cost(x int, alpha, beta float64) SpareCost {
	rate := in.Lambda + in.LambdaC
	c := SpareCost{X: x}
	horizon := in.Horizon
	if rate > 0 {
		h := 1 / rate
		if in.Horizon > 0 {
			h = (1 - math.Exp(-rate*in.Horizon)) / rate
		}
		horizon = h
	}
	// Readiness of the machines that the plan prepares, nearest first.
	delays := make([]float64, 0, x)
	for i := 0; i < in.Ready && len(delays) < x; i++ {
		delays = append(delays, 0)
	}
	boot := append([]float64(nil), in.Booting...)
	sort.Float64s(boot)
	for _, b := range boot {
		if len(delays) < x {
			delays = append(delays, unfinished(b, rate))
		}
	}
	for len(delays) < x {
		delays = append(delays, unfinished(in.BootS, rate))
	}
	if rate > 0 && in.Lambda > 0 {
		var sum, weight float64
		// In order of r: the sums, and with them the choice, must not depend on
		// the order of a map.
		for _, r := range slices.Sorted(maps.Keys(in.Needs)) {
			w := in.Needs[r]
			d := in.BootS // not prepared: rented on arrival
			if r <= len(delays) {
				d = delays[r-1]
			}
			sum += w * d
			weight += w
		}
		if weight > 0 {
			c.W = in.Lambda / rate * sum / weight
		}
	}
	c.E = float64(x) * in.Unit * horizon
	c.J = alpha*c.W + beta*c.E
	return c
}

// Choose picks the target between lo and hi with the least J, then the least
// W, then E, then x.
func (in *SpareInput) Choose(lo, hi int, alpha, beta float64) SpareCost {
	best := in.Cost(lo, alpha, beta)
	for x := lo + 1; x <= hi; x++ {
		c := in.Cost(x, alpha, beta)
		if c.J < best.J || c.J == best.J && (c.W < best.W || c.W == best.W && c.E < best.E) {
			best = c
		}
	}
	return best
}
