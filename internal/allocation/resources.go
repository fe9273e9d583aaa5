package allocation

import (
	"math"
)

// Resources are amounts in whole thousandths.
type Resources struct{ CPU, GPU, Mem int64 }

// FromAmounts converts the wire's decimal amounts.
func FromAmounts(cpus, gpus, memoryGB float64) Resources {
	r := func(f float64) int64 { return int64(math.Round(f * 1000)) }
	return Resources{r(cpus), r(gpus), r(memoryGB)}
}

// Add returns the sum.
func (a Resources) Add(b Resources) Resources {
	return Resources{a.CPU + b.CPU, a.GPU + b.GPU, a.Mem + b.Mem}
}

// Sub returns the difference.
func (a Resources) Sub(b Resources) Resources {
	return Resources{a.CPU - b.CPU, a.GPU - b.GPU, a.Mem - b.Mem}
}

// Times returns n times the amounts.
func (a Resources) Times(n int) Resources {
	return Resources{a.CPU * int64(n), a.GPU * int64(n), a.Mem * int64(n)}
}

// Fits tells whether a fits into b.
func (a Resources) Fits(b Resources) bool { return a.CPU <= b.CPU && a.GPU <= b.GPU && a.Mem <= b.Mem }

// Team is a team's guarantee and limit; a limit of 0 is none.
type Team struct {
	CPU, GPU       int64
	CPUMax, GPUMax int64
}
