package jobhistory

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"firwood.dev/firwood/internal/clock"
)

// Beyond the bound those that were longest not asked for are forgotten, but for those that
// may not be.
func TestMemory(t *testing.T) {
	m := NewMemory(3)
	for i := range 6 {
		m.Use(fmt.Sprint(i))
	}
	m.Use("0") // a user asks
	forgotten := m.Forget(100, func(job string) bool { return job != "2" })
	if !slices.Equal(forgotten, []string{"1", "3", "4"}) || m.Len() != 3 {
		t.Errorf("forgotten %v, %d are left", forgotten, m.Len())
	}
	if again := m.Forget(100, func(string) bool { return true }); again != nil {
		t.Errorf("forgotten within the bound: %v", again)
	}
	m.Use("5")
	m.Use("6")
	if none := m.Forget(100, func(string) bool { return false }); none != nil || m.Len() != 4 {
		t.Errorf("forgotten %v, %d are left", none, m.Len())
	}
}

// Of any number of records in any order the newest are kept, and no more than twice as many
// are held.
func TestNewest(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for range 200 {
		n, most := rng.IntN(60), 1+rng.IntN(10)
		newest := NewNewest[int](most)
		for _, i := range rng.Perm(n) {
			newest.Add(int64(i), i)
			if len(newest.records) > 2*most {
				t.Fatalf("%d records are held for %d", len(newest.records), most)
			}
		}
		kept, dropped := newest.Kept()
		slices.Sort(kept)
		if len(kept) != min(n, most) || len(kept) > 0 && kept[0] != n-len(kept) || dropped != n-len(kept) {
			t.Fatalf("of %d at most %d: %v, %d dropped", n, most, kept, dropped)
		}
	}
}

// Over generated courses of questions, jobs that come to exist, lost answers and requests
// that read only some: nobody is told that a job is absent which existed when it was asked
// for, and each question is answered.
func TestLookups(t *testing.T) {
	for seed := range uint64(500) {
		rng := rand.New(rand.NewPCG(seed, 3))
		l := NewLookups(20, 4)
		exists := map[string]bool{}
		now, asked, answered := clock.Micros(0), 0, 0
		ask := func() {
			job := fmt.Sprint(rng.IntN(12))
			existed := exists[job]
			isTaken := l.Ask(job, now+clock.Second, func(a Answer) {
				answered++
				if a == Absent && existed || a == Present && !exists[job] {
					t.Fatalf("seed %d: %s is answered %d, existed %v, exists %v", seed, job, a, existed, exists[job])
				}
			})
			if isTaken {
				asked++
			}
		}
		for range 300 {
			now += clock.Micros(rng.IntN(100)) * clock.Millisecond
			switch rng.IntN(4) {
			case 0:
				ask()
			case 1:
				exists[fmt.Sprint(rng.IntN(12))] = true
			default:
				answerSome(l, rng, exists, now, ask)
			}
		}
		for range 100 {
			now += 50 * clock.Millisecond
			answerSome(l, rng, exists, now, func() {})
		}
		if asked != answered || asked == 0 {
			t.Fatalf("seed %d: %d questions, %d answered", seed, asked, answered)
		}
	}
}

// answerSome has one request carried out, while more may be asked.
func answerSome(l *Lookups, rng *rand.Rand, exists map[string]bool, now clock.Micros, ask func()) {
	jobs := l.Next(now)
	if len(jobs) == 0 {
		return
	}
	if len(jobs) > 4 {
		panic("more than a request holds")
	}
	var present []string
	for _, job := range jobs {
		if exists[job] {
			present = append(present, job)
		}
	}
	for range rng.IntN(3) {
		exists[fmt.Sprint(rng.IntN(12))] = true // after it was carried out
	}
	ask() // while its answer is on the way: it is for the next one
	hasFailed := rng.IntN(5) == 0
	if hasFailed {
		present = nil
	}
	areOthersAbsent := len(present) == 0 && !hasFailed
	l.Answered(present[:min(len(present), 2)], areOthersAbsent, hasFailed)
}
