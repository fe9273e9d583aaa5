package scheduler

import (
	"firwood.dev/firwood/internal/allocation"
)

// dominantShare is how much of a machine a need takes, of what it takes most of.
func dominantShare(need, size allocation.Resources) float64 {
	share := 0.0
	for _, dimension := range [][2]int64{{need.MilliCPU, size.MilliCPU}, {need.MilliGPU, size.MilliGPU}, {need.MemoryMB, size.MemoryMB}} {
		if dimension[1] > 0 {
			share = max(share, float64(dimension[0])/float64(dimension[1]))
		}
	}
	return share
}

// freeFraction is how much of a machine is left for others: of what is shortest on it.
// Reckoned in processors alone, machines whose cards were all taken once counted as
// room for spares.
func freeFraction(free, size allocation.Resources) float64 {
	return max(1-dominantShare(size.Sub(free), size), 0)
}
