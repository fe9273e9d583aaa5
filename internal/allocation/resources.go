package allocation

import (
	"math"

	"firwood.dev/firwood/wire"
)

// Unit is one CPU, one GPU or one GB, in the units of Resources.
const Unit = 1_000_000

// maxAmount is the largest amount that Resources hold. The sum of wire.MaxTasks of them doesn't overflow.
const maxAmount = math.MaxInt64 / wire.MaxTasks

// Resources are amounts of CPUs, GPUs and memory in millionths of a CPU, a GPU and a GB, and of room in a
// machine's heartbeats in bytes (see MachineReportBytes).
type Resources struct{ MicroCPU, MicroGPU, MicroGB, ReportBytes int64 }

// NewRequest converts the decimal amounts that a task takes (PROTOCOL, cores, gpus, ramGb). It rounds up, so that what tasks
// take is never counted as less than it is. Amounts of up to six decimals are exact. The room in heartbeats is 0.
func NewRequest(cpus, gpus, memoryGB float64) Resources {
	return Resources{MicroCPU: roundUp(cpus), MicroGPU: roundUp(gpus), MicroGB: roundUp(memoryGB)}
}

// NewCapacity converts the decimal amounts that a machine has or that a team may use. It rounds down, so that they are never
// counted as more than they are. Amounts of up to six decimals are exact. The room in heartbeats is 0.
func NewCapacity(cpus, gpus, memoryGB float64) Resources {
	return Resources{MicroCPU: roundDown(cpus), MicroGPU: roundDown(gpus), MicroGB: roundDown(memoryGB)}
}

// roundUp converts an amount to millionths and rounds up.
func roundUp(amount float64) int64 {
	product, isWhole := toMicros(amount)
	if isWhole {
		return int64(product)
	}
	return int64(math.Floor(product)) + 1
}

// roundDown converts an amount to millionths and rounds down.
func roundDown(amount float64) int64 {
	product, isWhole := toMicros(amount)
	if isWhole {
		return int64(product)
	}
	return max(int64(math.Ceil(product))-1, 0)
}

// toMicros converts an amount to millionths. isWhole reports whether the amount is a decimal of at most six places, for
// which the product of floating-point numbers may be off by a rounding error. The product is exact then. Otherwise it may
// be a whole number only because it was rounded.
func toMicros(amount float64) (product float64, isWhole bool) {
	if amount >= maxAmount/Unit {
		return maxAmount / Unit * Unit, true
	}
	product = amount * Unit
	if nearest := math.Round(product); nearest/Unit == amount {
		return nearest, true
	}
	return product, false
}

// Add returns the sum.
func (a Resources) Add(b Resources) Resources {
	return Resources{a.MicroCPU + b.MicroCPU, a.MicroGPU + b.MicroGPU, a.MicroGB + b.MicroGB, a.ReportBytes + b.ReportBytes}
}

// Sub returns the difference.
func (a Resources) Sub(b Resources) Resources {
	return Resources{a.MicroCPU - b.MicroCPU, a.MicroGPU - b.MicroGPU, a.MicroGB - b.MicroGB, a.ReportBytes - b.ReportBytes}
}

// Times returns n times the amounts.
func (a Resources) Times(n int) Resources {
	return Resources{a.MicroCPU * int64(n), a.MicroGPU * int64(n), a.MicroGB * int64(n), a.ReportBytes * int64(n)}
}

// IsWithin reports whether each amount of a is at most that of b.
func (a Resources) IsWithin(b Resources) bool {
	return a.MicroCPU <= b.MicroCPU && a.MicroGPU <= b.MicroGPU && a.MicroGB <= b.MicroGB && a.ReportBytes <= b.ReportBytes
}

// CountWithin returns how many times the amounts fit into a total, at most limit. It returns limit if all
// amounts are 0 and the total is not negative.
func (a Resources) CountWithin(total Resources, limit int) int {
	if !a.IsWithin(total) {
		return 0
	}
	count := int64(limit)
	for _, dimension := range [][2]int64{{a.MicroCPU, total.MicroCPU}, {a.MicroGPU, total.MicroGPU}, {a.MicroGB, total.MicroGB}, {a.ReportBytes, total.ReportBytes}} {
		if dimension[0] > 0 {
			count = min(count, dimension[1]/dimension[0])
		}
	}
	return int(count)
}

// TeamQuota is a team's guarantee and limit, in millionths. A maximum of 0 means that there is no limit.
type TeamQuota struct {
	GuaranteedMicroCPU, GuaranteedMicroGPU int64
	MaxMicroCPU, MaxMicroGPU               int64
}
