package peer

import (
	"slices"

	flatbuffers "github.com/google/flatbuffers/go"

	"firwood.dev/firwood/internal/peer/fb"
)

// Encode makes the frame of a beat. What would make it larger than a receiver takes is
// left out: images first, then what jobs have done, which are advice; a receiver that
// refuses a frame closes the link.
func Encode(b *Beat) []byte {
	frame := encode(b)
	if len(frame) <= MaxFrame {
		return frame
	}
	smaller := *b
	smaller.Holdings = nil
	if frame = encode(&smaller); len(frame) > MaxFrame {
		smaller.Counts = nil
		frame = encode(&smaller)
	}
	return frame
}

func encode(b *Beat) []byte {
	fbb := flatbuffers.NewBuilder(256)
	counts := encodeCounts(fbb, b.Counts)
	withdrawals := encodeWithdrawals(fbb, b.Withdrawals)
	holdings, runs := encodeHoldings(fbb, b.Holdings), encodeRunTimes(fbb, b.RunTimes)
	boots := encodeBootTimes(fbb, b.BootTimes)
	member, leader := fbb.CreateString(b.Member), fbb.CreateString(b.Leader)
	message, position := encodeStandby(fbb, b)
	fb.BeatStart(fbb)
	fb.BeatAddMember(fbb, member)
	fb.BeatAddServed(fbb, b.Served)
	fb.BeatAddLeader(fbb, leader)
	fb.BeatAddToken(fbb, b.Token)
	fb.BeatAddWorkers(fbb, b.Workers)
	fb.BeatAddCounts(fbb, counts)
	fb.BeatAddLife(fbb, b.Life)
	fb.BeatAddStamp(fbb, int64(b.Stamp))
	fb.BeatAddEchoLife(fbb, b.EchoLife)
	fb.BeatAddEchoStamp(fbb, int64(b.EchoStamp))
	fb.BeatAddQuietFor(fbb, int64(b.QuietFor))
	fb.BeatAddHoldings(fbb, holdings)
	fb.BeatAddRunTimes(fbb, runs)
	fb.BeatAddRevision(fbb, b.Revision)
	fb.BeatAddWithdrawals(fbb, withdrawals)
	fb.BeatAddStandbyVersion(fbb, b.StandbyVersion)
	fb.BeatAddStandbyMessage(fbb, message)
	fb.BeatAddStandbyPosition(fbb, position)
	fb.BeatAddCountsOf(fbb, b.CountsOf)
	fb.BeatAddBootTimes(fbb, boots)
	fbb.FinishSizePrefixed(fb.BeatEnd(fbb))
	return fbb.FinishedBytes()
}

// tables writes a vector of tables, one for each item, up to a bound.
func tables[T any](fbb *flatbuffers.Builder, items []T, most int, encode func(T) flatbuffers.UOffsetT) flatbuffers.UOffsetT {
	var offsets []flatbuffers.UOffsetT
	for _, item := range items[:min(len(items), most)] {
		offsets = append(offsets, encode(item))
	}
	return vector(fbb, offsets)
}

func encodeCounts(fbb *flatbuffers.Builder, counts []Count) flatbuffers.UOffsetT {
	return tables(fbb, counts, MaxCounts, func(c Count) flatbuffers.UOffsetT {
		id := fbb.CreateString(c.Job)
		fb.CountStart(fbb)
		fb.CountAddJob(fbb, id)
		fb.CountAddDone(fbb, c.Done)
		fb.CountAddRunning(fbb, c.Running)
		return fb.CountEnd(fbb)
	})
}

// encodeBootTimes writes nothing at all where there are none: versions that know no boot
// times compare recorded messages to the byte.
func encodeBootTimes(fbb *flatbuffers.Builder, times []BootTimes) flatbuffers.UOffsetT {
	if len(times) == 0 {
		return 0
	}
	return tables(fbb, times, MaxBootTypes, func(t BootTimes) flatbuffers.UOffsetT {
		boots := t.Boots[:min(len(t.Boots), MaxBoots)]
		fb.BootTimesStartBootsVector(fbb, len(boots))
		for _, boot := range slices.Backward(boots) {
			fbb.PrependInt64(int64(boot))
		}
		vec := fbb.EndVector(len(boots))
		name := fbb.CreateString(t.Type)
		fb.BootTimesStart(fbb)
		fb.BootTimesAddType(fbb, name)
		fb.BootTimesAddBoots(fbb, vec)
		return fb.BootTimesEnd(fbb)
	})
}

// vector writes offsets; all vectors of them are alike.
func vector(fbb *flatbuffers.Builder, offs []flatbuffers.UOffsetT) flatbuffers.UOffsetT {
	fbb.StartVector(flatbuffers.SizeUOffsetT, len(offs), flatbuffers.SizeUOffsetT)
	for i := len(offs) - 1; i >= 0; i-- {
		fbb.PrependUOffsetT(offs[i])
	}
	return fbb.EndVector(len(offs))
}

func encodeHoldings(fbb *flatbuffers.Builder, holdings []Holding) flatbuffers.UOffsetT {
	return tables(fbb, holdings, MaxHoldings, func(h Holding) flatbuffers.UOffsetT {
		var images []flatbuffers.UOffsetT
		for _, image := range h.Images[:min(len(h.Images), MaxImages)] {
			images = append(images, fbb.CreateString(image))
		}
		vec, machine := vector(fbb, images), fbb.CreateString(h.Machine)
		fb.HoldingStart(fbb)
		fb.HoldingAddMachine(fbb, machine)
		fb.HoldingAddSession(fbb, h.Session)
		fb.HoldingAddImages(fbb, vec)
		return fb.HoldingEnd(fbb)
	})
}

func encodeRunTimes(fbb *flatbuffers.Builder, times []RunTimes) flatbuffers.UOffsetT {
	return tables(fbb, times, MaxRunTimes, func(r RunTimes) flatbuffers.UOffsetT {
		class := fbb.CreateString(r.Class)
		fb.RunTimesStart(fbb)
		fb.RunTimesAddClass(fbb, class)
		fb.RunTimesAddCount(fbb, r.Count)
		fb.RunTimesAddMean(fbb, r.Mean)
		fb.RunTimesAddSquare(fbb, r.Square)
		return fb.RunTimesEnd(fbb)
	})
}

func encodeWithdrawals(fbb *flatbuffers.Builder, withdrawals []Withdrawal) flatbuffers.UOffsetT {
	return tables(fbb, withdrawals, MaxWithdrawals, func(w Withdrawal) flatbuffers.UOffsetT {
		job := fbb.CreateString(w.Job)
		fb.WithdrawalStart(fbb)
		fb.WithdrawalAddJob(fbb, job)
		fb.WithdrawalAddRevision(fbb, w.Revision)
		fb.WithdrawalAddAt(fbb, int64(w.At))
		return fb.WithdrawalEnd(fbb)
	})
}
