package scheduler

import (
	"firwood.dev/firwood/internal/allocation"
)

// dominantShare is the largest share that a need takes of any resource of a machine.
func dominantShare(need, size allocation.Resources) float64 {
	share := 0.0
	for _, dimension := range [][2]int64{{need.MicroCPU, size.MicroCPU}, {need.MicroGPU, size.MicroGPU}, {need.MicroGB, size.MicroGB}} {
		if dimension[1] > 0 {
			share = max(share, float64(dimension[0])/float64(dimension[1]))
		}
	}
	return share
}

// freeFraction is the free share of a machine's scarcest resource. If only CPUs counted, a machine
// whose GPUs are all in use would count as room for spares.
func freeFraction(free, size allocation.Resources) float64 {
	return max(1-dominantShare(size.Sub(free), size), 0)
}

// minNeed is the component-wise minimum of what a task of each queued job needs. A machine with
// less free than that in any resource has room for none of them.
func minNeed(queue []*queuedJob) allocation.Resources {
	if len(queue) == 0 {
		return allocation.Resources{}
	}
	need := queue[0].job.Request
	for _, queued := range queue[1:] {
		need = componentMin(need, queued.job.Request)
	}
	return need
}

func componentMax(a, b allocation.Resources) allocation.Resources {
	return allocation.Resources{MicroCPU: max(a.MicroCPU, b.MicroCPU), MicroGPU: max(a.MicroGPU, b.MicroGPU), MicroGB: max(a.MicroGB, b.MicroGB), ReportBytes: max(a.ReportBytes, b.ReportBytes)}
}

func componentMin(a, b allocation.Resources) allocation.Resources {
	return allocation.Resources{MicroCPU: min(a.MicroCPU, b.MicroCPU), MicroGPU: min(a.MicroGPU, b.MicroGPU), MicroGB: min(a.MicroGB, b.MicroGB), ReportBytes: min(a.ReportBytes, b.ReportBytes)}
}
