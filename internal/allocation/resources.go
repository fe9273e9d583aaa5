package allocation

import "math"

// Resources are amounts of CPUs and GPUs in thousandths, of memory in MB (thousandths of a GB), and of room in a
// machine's heartbeats in bytes (see MachineReportBytes).
type Resources struct{ MilliCPU, MilliGPU, MemoryMB, ReportBytes int64 }

// NewResources converts the decimal amounts that PROTOCOL uses (cores, gpus, ramGb) and rounds them to
// whole thousandths. The room in heartbeats is 0.
func NewResources(cpus, gpus, memoryGB float64) Resources {
	toMilli := func(amount float64) int64 { return int64(math.Round(amount * 1000)) }
	return Resources{MilliCPU: toMilli(cpus), MilliGPU: toMilli(gpus), MemoryMB: toMilli(memoryGB)}
}

// Add returns the sum.
func (a Resources) Add(b Resources) Resources {
	return Resources{a.MilliCPU + b.MilliCPU, a.MilliGPU + b.MilliGPU, a.MemoryMB + b.MemoryMB, a.ReportBytes + b.ReportBytes}
}

// Sub returns the difference.
func (a Resources) Sub(b Resources) Resources {
	return Resources{a.MilliCPU - b.MilliCPU, a.MilliGPU - b.MilliGPU, a.MemoryMB - b.MemoryMB, a.ReportBytes - b.ReportBytes}
}

// Times returns n times the amounts.
func (a Resources) Times(n int) Resources {
	return Resources{a.MilliCPU * int64(n), a.MilliGPU * int64(n), a.MemoryMB * int64(n), a.ReportBytes * int64(n)}
}

// IsWithin reports whether each amount of a is at most that of b.
func (a Resources) IsWithin(b Resources) bool {
	return a.MilliCPU <= b.MilliCPU && a.MilliGPU <= b.MilliGPU && a.MemoryMB <= b.MemoryMB && a.ReportBytes <= b.ReportBytes
}

// CountWithin returns how many times the amounts fit into a total, at most limit. It returns limit if all
// amounts are 0 and the total is not negative.
func (a Resources) CountWithin(total Resources, limit int) int {
	if !a.IsWithin(total) {
		return 0
	}
	count := int64(limit)
	for _, dimension := range [][2]int64{{a.MilliCPU, total.MilliCPU}, {a.MilliGPU, total.MilliGPU}, {a.MemoryMB, total.MemoryMB}, {a.ReportBytes, total.ReportBytes}} {
		if dimension[0] > 0 {
			count = min(count, dimension[1]/dimension[0])
		}
	}
	return int(count)
}

// TeamQuota is a team's guarantee and limit, in thousandths. A maximum of 0 means that there is no limit.
type TeamQuota struct {
	GuaranteedMilliCPU, GuaranteedMilliGPU int64
	MaxMilliCPU, MaxMilliGPU               int64
}
