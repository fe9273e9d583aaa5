package scheduler

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"firwood.dev/firwood/internal/clock"
)

const (
	// minBootSamples is from how many boots of a type on they say more than the nominal figure.
	minBootSamples = 8
	// maxRecentBoots is how many boots of a type are kept for the next leader.
	maxRecentBoots = 32
	// maxBootTime is the longest boot that is told from longer ones.
	maxBootTime = 3600 * clock.Second
)

// bootTimeStats are how long machines of a type took to report for the first time.
type bootTimeStats struct {
	histogram *hdrhistogram.Histogram // in milliseconds
	recent    []clock.Micros          // the last ones
}

func newBootTimeStats() *bootTimeStats {
	return &bootTimeStats{histogram: hdrhistogram.New(1, int64(maxBootTime/clock.Millisecond), 2)}
}

func (stats *bootTimeStats) observe(bootTime clock.Micros) {
	bootTime = min(max(bootTime, clock.Millisecond), maxBootTime)
	_ = stats.histogram.RecordValue(int64(bootTime / clock.Millisecond)) // it is within the bounds
	if len(stats.recent) == maxRecentBoots {
		stats.recent = append(stats.recent[:0], stats.recent[1:]...)
	}
	stats.recent = append(stats.recent, bootTime)
}

// ObserveBoot takes the time that a machine took to report.
func (scheduler *Scheduler) ObserveBoot(typeName string, bootTime clock.Micros) {
	stats := scheduler.bootTimes[typeName]
	if stats == nil {
		stats = newBootTimeStats()
		scheduler.bootTimes[typeName] = stats
	}
	stats.observe(bootTime)
}

// RecentBootTimes are the last boots of a type, for another leader to go on with.
func (scheduler *Scheduler) RecentBootTimes(typeName string) []clock.Micros {
	if stats := scheduler.bootTimes[typeName]; stats != nil {
		return stats.recent
	}
	return nil
}

// RestoreBootTimes takes the boots of a type that another leader has seen, unless some were
// seen here. Times that make no sense are left out.
func (scheduler *Scheduler) RestoreBootTimes(typeName string, bootTimes []clock.Micros) {
	if _, ok := scheduler.MachineTypes[typeName]; !ok || scheduler.bootTimes[typeName] != nil {
		return
	}
	for _, bootTime := range bootTimes {
		if bootTime > 0 && bootTime <= maxBootTime {
			scheduler.ObserveBoot(typeName, bootTime)
		}
	}
}

// BootTime is a learnt quantile of a type's boot time; before there are
// samples it rests on the nominal figure. An upper quantile is never below what the
// nominal figure gives: the first machines of a burst to come up are the fast ones,
// and by their times alone all the others looked overdue, and were rented again.
func (scheduler *Scheduler) BootTime(typeName string, quantile float64) clock.Micros {
	nominal := clock.FromSeconds(scheduler.MachineTypes[typeName].BootSeconds)
	if quantile > 90 {
		nominal += nominal / 2 // usually 0.6 to 1.5 times the figure
	}
	stats := scheduler.bootTimes[typeName]
	if stats == nil || stats.histogram.TotalCount() < minBootSamples {
		return nominal
	}
	observed := clock.Micros(stats.histogram.ValueAtQuantile(quantile)) * clock.Millisecond
	if quantile > 90 {
		return max(observed, nominal)
	}
	return observed
}
