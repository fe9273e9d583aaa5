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

func decodeCounts(r *fb.Beat) ([]Count, error) {
	if r.CountsLength() > MaxCounts {
		return nil, errMalformed
	}
	var counts []Count
	var c fb.Count
	for i := range r.CountsLength() {
		if !r.Counts(&c, i) {
			return nil, errMalformed
		}
		counts = append(counts, Count{Job: string(c.Job()), Done: c.Done(), Running: c.Running()})
	}
	return counts, nil
}

func decodeHoldings(r *fb.Beat) ([]Holding, error) {
	if r.HoldingsLength() > MaxHoldings {
		return nil, errMalformed
	}
	var holdings []Holding
	var h fb.Holding
	for i := range r.HoldingsLength() {
		if !r.Holdings(&h, i) || h.ImagesLength() > MaxImages {
			return nil, errMalformed
		}
		holding := Holding{Machine: string(h.Machine()), Session: h.Session()}
		for k := range h.ImagesLength() {
			holding.Images = append(holding.Images, string(h.Images(k)))
		}
		holdings = append(holdings, holding)
	}
	return holdings, nil
}

func decodeRunTimes(r *fb.Beat) ([]RunTimes, error) {
	if r.RunTimesLength() > MaxRunTimes {
		return nil, errMalformed
	}
	var times []RunTimes
	var t fb.RunTimes
	for i := range r.RunTimesLength() {
		if !r.RunTimes(&t, i) {
			return nil, errMalformed
		}
		times = append(times, RunTimes{Class: string(t.Class()), Count: t.Count(), Mean: t.Mean(), Square: t.Square()})
	}
	return times, nil
}

func decodeBootTimes(r *fb.Beat) ([]BootTimes, error) {
	if r.BootTimesLength() > MaxBootTypes {
		return nil, errMalformed
	}
	var times []BootTimes
	var t fb.BootTimes
	for i := range r.BootTimesLength() {
		if !r.BootTimes(&t, i) || t.BootsLength() > MaxBoots {
			return nil, errMalformed
		}
		boots := BootTimes{Type: string(t.Type())}
		for k := range t.BootsLength() {
			boots.Boots = append(boots.Boots, clock.Micros(t.Boots(k)))
		}
		times = append(times, boots)
	}
	return times, nil
}

func decodeWithdrawals(r *fb.Beat) ([]Withdrawal, error) {
	if r.WithdrawalsLength() > MaxWithdrawals {
		return nil, errMalformed
	}
	var withdrawals []Withdrawal
	var w fb.Withdrawal
	for i := range r.WithdrawalsLength() {
		if !r.Withdrawals(&w, i) {
			return nil, errMalformed
		}
		withdrawals = append(withdrawals, Withdrawal{Job: string(w.Job()), Revision: w.Revision(), At: clock.Micros(w.At())})
	}
	return withdrawals, nil
}
