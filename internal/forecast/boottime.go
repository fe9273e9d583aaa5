package forecast

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"firwood.dev/firwood/internal/clock"
)

const (
	// minBootSamples is the number of observed boots of a type from which on their quantiles
	// are used instead of the nominal figure.
	minBootSamples = 8
	// maxRecentBoots is how many boots of a type are kept for the next leader.
	maxRecentBoots = 32
	// maxBootTime is the longest boot time that is distinguished from longer ones.
	maxBootTime = 3600 * clock.Second
	// upperPercentile, in percent: quantiles above it are never below 1.5 times the nominal
	// figure, see Quantile.
	upperPercentile = 90
	// bootTimeDigits is the precision of the histogram, in significant digits.
	bootTimeDigits = 2
)

// BootTimeModel holds how long machines of one type took from their creation to their first
// heartbeat. A nil model has no observations.
type BootTimeModel struct {
	histogram *hdrhistogram.Histogram // in milliseconds
	recent    []clock.Micros          // the last maxRecentBoots, in order
}

// NewBootTimeModel returns a model without observations.
func NewBootTimeModel() *BootTimeModel {
	return &BootTimeModel{histogram: hdrhistogram.New(1, int64(maxBootTime/clock.Millisecond), bootTimeDigits)}
}

// Observe records the boot time of a machine.
func (model *BootTimeModel) Observe(bootTime clock.Micros) {
	bootTime = min(max(bootTime, clock.Millisecond), maxBootTime)
	_ = model.histogram.RecordValue(int64(bootTime / clock.Millisecond)) // it is within the bounds
	if len(model.recent) == maxRecentBoots {
		model.recent = append(model.recent[:0], model.recent[1:]...)
	}
	model.recent = append(model.recent, bootTime)
}

// Recent returns the last boot times, for the next leader's Restore.
func (model *BootTimeModel) Recent() []clock.Micros {
	if model == nil {
		return nil
	}
	return model.recent
}

// Restore takes the boot times that another leader has observed, unless there are
// observations already. Times that make no sense are ignored.
func (model *BootTimeModel) Restore(bootTimes []clock.Micros) {
	if len(model.recent) > 0 {
		return
	}
	for _, bootTime := range bootTimes {
		if bootTime > 0 && bootTime <= maxBootTime {
			model.Observe(bootTime)
		}
	}
}

// Percentile is a quantile, in percent, of the boot time; before there are enough
// observations it rests on the nominal figure of the type.
//
// An upper quantile is never below 1.5 times the nominal figure, since the first machines of a
// burst to come up are the fast ones. Added after all others of a burst counted as overdue
// by the times of these, and were requested a second time.
func (model *BootTimeModel) Percentile(percentile float64, nominalBootTime clock.Micros) clock.Micros {
	if percentile > upperPercentile {
		nominalBootTime += nominalBootTime / 2 // usually 0.6 to 1.5 times the figure
	}
	if model == nil || model.histogram.TotalCount() < minBootSamples {
		return nominalBootTime
	}
	observed := clock.Micros(model.histogram.ValueAtQuantile(percentile)) * clock.Millisecond
	if percentile > upperPercentile {
		return max(observed, nominalBootTime)
	}
	return observed
}
