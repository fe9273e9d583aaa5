package forecast

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"firwood.dev/firwood/internal/clock"
)

const (
	// minBootSamples is the number of observed boots of a type from which on the observed
	// percentiles are used instead of the nominal boot time.
	minBootSamples = 8
	// maxRecentBoots is the number of a type's boot times that are kept for the next leader.
	maxRecentBoots = 32
	// maxBootTime is the maximum boot time that is recorded; longer ones count as maxBootTime.
	maxBootTime = 3600 * clock.Second
	// upperPercentile is the percentile above which a boot time is never below 1.5 times the
	// nominal boot time; see Percentile.
	upperPercentile = 90
	// bootTimeDigits is the precision of the histogram, in significant digits.
	bootTimeDigits = 2
)

// BootTimeModel holds the boot times of machines of one type: the times from their creation to their
// first heartbeat. A nil model has no observations.
type BootTimeModel struct {
	histogram *hdrhistogram.Histogram // in milliseconds
	recent    []clock.Micros          // the last maxRecentBoots boot times, in order of observation
}

// NewBootTimeModel returns a model without observations.
func NewBootTimeModel() *BootTimeModel {
	return &BootTimeModel{histogram: hdrhistogram.New(1, int64(maxBootTime/clock.Millisecond), bootTimeDigits)}
}

// Observe records the boot time of a machine.
func (model *BootTimeModel) Observe(bootTime clock.Micros) {
	bootTime = min(max(bootTime, clock.Millisecond), maxBootTime)
	_ = model.histogram.RecordValue(int64(bootTime / clock.Millisecond)) // can't fail: bootTime is in range
	if len(model.recent) == maxRecentBoots {
		model.recent = append(model.recent[:0], model.recent[1:]...)
	}
	model.recent = append(model.recent, bootTime)
}

// Recent returns the latest boot times, to be given to the next leader's Restore.
func (model *BootTimeModel) Recent() []clock.Micros {
	if model == nil {
		return nil
	}
	return model.recent
}

// Restore adopts the boot times that another leader has observed, unless this model already has
// observations. It ignores times that are 0, negative or above maxBootTime.
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

// Percentile returns the given percentile, from 0 to 100, of the boot time. As long as there are
// fewer than minBootSamples observations, it is based on the nominal boot time of the type alone.
//
// A percentile above upperPercentile is never below 1.5 times the nominal boot time, since the first
// machines of a burst that boot are the fast ones. Without this bound, their boot times made all the
// other machines of the burst count as overdue, and these were requested a second time.
func (model *BootTimeModel) Percentile(percentile float64, nominalBootTime clock.Micros) clock.Micros {
	if percentile > upperPercentile {
		nominalBootTime += nominalBootTime / 2 // boots usually take 0.6 to 1.5 times the nominal time
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
