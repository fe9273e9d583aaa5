package peer

import (
	"errors"
	"fmt"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/peer/fb"
)

var errMalformed = errors.New("peer: malformed beat")

// Decode reads one frame's content, without its size. FlatBuffers for Go has
// no verifier: bytes that are no beat make its readers run out of the buffer,
// and that must not end the process.
func Decode(p []byte) (b *Beat, err error) {
	defer func() {
		if r := recover(); r != nil {
			b, err = nil, fmt.Errorf("%w: %v", errMalformed, r)
		}
	}()
	if len(p) < 8 {
		return nil, errMalformed
	}
	r := fb.GetRootAsBeat(p, 0)
	b = &Beat{
		Member: string(r.Member()), Served: r.Served(), Leader: string(r.Leader()),
		Token: r.Token(), Workers: r.Workers(),
		Life: r.Life(), Stamp: clock.Micros(r.Stamp()), EchoLife: r.EchoLife(), EchoStamp: clock.Micros(r.EchoStamp()),
		QuietFor: clock.Micros(r.QuietFor()),
	}
	if b.Member == "" {
		return nil, errMalformed
	}
	if err := decodeAdvice(r, b); err != nil {
		return nil, err
	}
	b.Revision = r.Revision()
	b.Withdrawals, err = decodeWithdrawals(r)
	if err != nil {
		return nil, err
	}
	b.StandbyVersion = r.StandbyVersion()
	if err := decodeStandby(r, b); err != nil {
		return nil, err
	}
	return b, nil
}

// decodeAdvice reads what the next leader need not learn anew, and progress.
func decodeAdvice(r *fb.Beat, b *Beat) (err error) {
	b.CountsOf = r.CountsOf()
	if b.Counts, err = decodeCounts(r); err != nil {
		return err
	}
	if b.Holdings, err = decodeHoldings(r); err != nil {
		return err
	}
	if b.RunTimes, err = decodeRunTimes(r); err != nil {
		return err
	}
	b.BootTimes, err = decodeBootTimes(r)
	return err
}

// readTables reads a vector of tables of a length, up to a bound; read tells whether there
// is one at an index that makes sense.
func readTables[T any](length, most int, read func(i int) (T, bool)) ([]T, error) {
	if length > most {
		return nil, errMalformed
	}
	var items []T
	for i := range length {
		item, ok := read(i)
		if !ok {
			return nil, errMalformed
		}
		items = append(items, item)
	}
	return items, nil
}

func decodeCounts(r *fb.Beat) ([]Count, error) {
	var c fb.Count
	return readTables(r.CountsLength(), MaxCounts, func(i int) (Count, bool) {
		ok := r.Counts(&c, i)
		return Count{Job: string(c.Job()), Done: c.Done(), Running: c.Running()}, ok
	})
}

func decodeHoldings(r *fb.Beat) ([]Holding, error) {
	var h fb.Holding
	return readTables(r.HoldingsLength(), MaxHoldings, func(i int) (Holding, bool) {
		if !r.Holdings(&h, i) || h.ImagesLength() > MaxImages {
			return Holding{}, false
		}
		holding := Holding{Machine: string(h.Machine()), Session: h.Session()}
		for k := range h.ImagesLength() {
			holding.Images = append(holding.Images, string(h.Images(k)))
		}
		return holding, true
	})
}

func decodeRunTimes(r *fb.Beat) ([]RunTimes, error) {
	var t fb.RunTimes
	return readTables(r.RunTimesLength(), MaxRunTimes, func(i int) (RunTimes, bool) {
		ok := r.RunTimes(&t, i)
		return RunTimes{Class: string(t.Class()), Count: t.Count(), Mean: t.Mean(), Square: t.Square()}, ok
	})
}

func decodeBootTimes(r *fb.Beat) ([]BootTimes, error) {
	var t fb.BootTimes
	return readTables(r.BootTimesLength(), MaxBootTypes, func(i int) (BootTimes, bool) {
		if !r.BootTimes(&t, i) || t.BootsLength() > MaxBoots {
			return BootTimes{}, false
		}
		boots := BootTimes{Type: string(t.Type())}
		for k := range t.BootsLength() {
			boots.Boots = append(boots.Boots, clock.Micros(t.Boots(k)))
		}
		return boots, true
	})
}

func decodeWithdrawals(r *fb.Beat) ([]Withdrawal, error) {
	var w fb.Withdrawal
	return readTables(r.WithdrawalsLength(), MaxWithdrawals, func(i int) (Withdrawal, bool) {
		ok := r.Withdrawals(&w, i)
		return Withdrawal{Job: string(w.Job()), Revision: w.Revision(), At: clock.Micros(w.At())}, ok
	})
}
