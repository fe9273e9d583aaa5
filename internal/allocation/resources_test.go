package allocation

import (
	"fmt"
	"math"
	"math/big"
	"strconv"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"firwood.dev/firwood/wire"
)

// drawDecimal draws an amount as users and the cloud write it, with up to the given number of decimals.
func drawDecimal(t *rapid.T, label string, maxDecimals int) string {
	whole := rapid.SampledFrom([]int{0, 1, 2, 48, 60, 96, 999, 65536}).Draw(t, label+" whole")
	decimals := rapid.IntRange(0, maxDecimals).Draw(t, label+" decimals")
	text := strconv.Itoa(whole)
	if decimals > 0 {
		text += "." + fmt.Sprintf("%0*d", decimals, rapid.Int64Range(0, int64(math.Pow10(decimals))-1).Draw(t, label+" fraction"))
	}
	return text
}

func parseAmount(t *rapid.T, text string) (float64, *big.Rat) {
	amount, err := strconv.ParseFloat(text, 64)
	exact, ok := new(big.Rat).SetString(text)
	if err != nil || !ok {
		t.Fatalf("amount %s can't be parsed", text)
	}
	return amount, exact
}

// inUnits returns an amount of Resources as an exact number of CPUs, GPUs or GB.
func inUnits(micros int64) *big.Rat { return big.NewRat(micros, Unit) }

// Guards against tasks that are refused by their worker, or use more than their team's limit, because their amounts were
// rounded down: what a task takes is never counted as less than it is, and what a machine has never as more.
func TestAmountsAreRoundedToTheSafeSide(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := drawDecimal(t, "amount", 10)
		amount, exact := parseAmount(t, text)
		request, capacity := NewRequest(amount, amount, amount), NewCapacity(amount, amount, amount)
		for _, micros := range []int64{request.MicroCPU, request.MicroGPU, request.MicroGB} {
			if excess := new(big.Rat).Sub(inUnits(micros), exact); excess.Sign() < 0 || excess.Cmp(big.NewRat(1, Unit)) > 0 {
				t.Fatalf("a task's %s is counted as %s, want that or up to a millionth more", text, inUnits(micros).FloatString(12))
			}
		}
		for _, micros := range []int64{capacity.MicroCPU, capacity.MicroGPU, capacity.MicroGB} {
			if lack := new(big.Rat).Sub(exact, inUnits(micros)); lack.Sign() < 0 || lack.Cmp(big.NewRat(1, Unit)) > 0 {
				t.Fatalf("a machine's %s is counted as %s, want that or up to a millionth less", text, inUnits(micros).FloatString(12))
			}
		}
	})
}

// As many tasks fit on a machine as by exact decimals, wherever the amounts have up to six decimals: sums of binary fractions
// would leave out the last task of some, such as 16 tasks of 0.1 CPUs on 1.6. With more decimals never more tasks fit.
func TestTasksFitAsByExactDecimals(t *testing.T) {
	edges := 0
	rapid.Check(t, func(t *rapid.T) {
		decimals := rapid.SampledFrom([]int{1, 3, 6, 10}).Draw(t, "decimals")
		request, exactRequest := parseAmount(t, drawDecimal(t, "request", decimals))
		count := rapid.IntRange(1, 40).Draw(t, "count")
		exactSize := new(big.Rat).Mul(exactRequest, big.NewRat(int64(count), 1)) // the tasks fill the machine to the edge
		size, _ := strconv.ParseFloat(strings.TrimRight(exactSize.FloatString(10), "0"), 64)
		if exactRequest.Sign() == 0 {
			return
		}
		got := NewRequest(request, 0, 0).CountWithin(NewCapacity(size, 0, 0), math.MaxInt32)
		if got > count || decimals <= 6 && got != count {
			t.Fatalf("tasks of %v CPUs on a machine of %v: got room for %d, want %d", request, size, got, count)
		}
		edges++
	})
	if edges < 50 {
		t.Fatalf("got %d cases, want at least 50", edges)
	}
	for _, testCase := range []struct {
		request, size float64
		want          int
	}{{0.1, 1.6, 16}, {0.7, 4.9, 7}, {48.0004, 96, 1}, {48.0004, 96.0008, 2}, {0.3333333333333333, 1, 2}, {0.0000004, 1, Unit}, {33.3, 33.3, 1}} {
		if got := NewRequest(testCase.request, 0, 0).CountWithin(NewCapacity(testCase.size, 0, 0), math.MaxInt32); got != testCase.want {
			t.Errorf("tasks of %v CPUs on a machine of %v: got room for %d, want %d", testCase.request, testCase.size, got, testCase.want)
		}
	}
}

// The sum of the largest job's tasks doesn't overflow, whatever amounts it names.
func TestLargestJobDoesNotOverflow(t *testing.T) {
	for _, amount := range []float64{1e3, 1e9, 1e15, math.MaxFloat64} {
		total := NewRequest(amount, amount, amount).Times(wire.MaxTasks)
		if total.MicroCPU <= 0 || total.MicroGPU <= 0 || total.MicroGB <= 0 {
			t.Errorf("%d tasks of %g: got %+v, want positive amounts", wire.MaxTasks, amount, total)
		}
	}
}
