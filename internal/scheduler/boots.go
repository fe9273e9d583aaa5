package scheduler

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"firwood.dev/firwood/internal/clock"
)

const (
	// leastBoots is from how many boots of a type on they say more than the nominal figure.
	leastBoots = 8
	// recentBoots is how many boots of a type are kept for the next leader.
	recentBoots = 32
	// longestBoot is the longest boot that is told from longer ones.
	longestBoot = 3600 * clock.Second
)

// bootTimes are how long machines of a type took to report for the first time.
type bootTimes struct {
	histogram *hdrhistogram.Histogram // in milliseconds
	recent    []clock.Micros          // the last ones
}

func newBootTimes() *bootTimes {
	return &bootTimes{histogram: hdrhistogram.New(1, int64(longestBoot/clock.Millisecond), 2)}
}

func (b *bootTimes) add(d clock.Micros) {
	d = min(max(d, clock.Millisecond), longestBoot)
	_ = b.histogram.RecordValue(int64(d / clock.Millisecond)) // it is within the bounds
	if len(b.recent) == recentBoots {
		b.recent = append(b.recent[:0], b.recent[1:]...)
	}
	b.recent = append(b.recent, d)
}

// Booted takes the time that a machine took to report.
func (pl *Planner) Booted(typ string, d clock.Micros) {
	b := pl.boots[typ]
	if b == nil {
		b = newBootTimes()
		pl.boots[typ] = b
	}
	b.add(d)
}

// RecentBoots are the last boots of a type, for another leader to go on with.
func (pl *Planner) RecentBoots(typ string) []clock.Micros {
	if b := pl.boots[typ]; b != nil {
		return b.recent
	}
	return nil
}

// GoOnWithBoots takes the boots of a type that another leader has seen, unless some were
// seen here. Times that make no sense are left out.
func (pl *Planner) GoOnWithBoots(typ string, boots []clock.Micros) {
	if _, ok := pl.Types[typ]; !ok || pl.boots[typ] != nil {
		return
	}
	for _, d := range boots {
		if d > 0 && d <= longestBoot {
			pl.Booted(typ, d)
		}
	}
}

// BootTime is a learnt quantile of a type's boot time; before there are
// samples it rests on the nominal figure. An upper quantile is never below what the
// nominal figure gives: the first machines of a burst to come up are the fast ones,
// and by their times alone all the others looked overdue, and were rented again.
func (pl *Planner) BootTime(typ string, quantile float64) clock.Micros {
	nominal := clock.FromSeconds(pl.Types[typ].BootS)
	if quantile > 90 {
		nominal += nominal / 2 // usually 0.6 to 1.5 times the figure
	}
	b := pl.boots[typ]
	if b == nil || b.histogram.TotalCount() < leastBoots {
		return nominal
	}
	learnt := clock.Micros(b.histogram.ValueAtQuantile(quantile)) * clock.Millisecond
	if quantile > 90 {
		return max(learnt, nominal)
	}
	return learnt
}
