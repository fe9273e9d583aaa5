// Package peer owns the links between controllers: one-way beats in
// FlatBuffers over TCP. Beats may be lost, late or repeated: what is learnt from
// them is advice, but for the stamps and their echoes, which package delegation
// explains.
package peer

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	flatbuffers "github.com/google/flatbuffers/go"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/peer/fb"
	"firwood.dev/firwood/internal/standby"
)

//go:generate flatc --go peer.fbs

// MaxFrame bounds a frame.
const MaxFrame = 1 << 18

// Bounds of what one beat tells, so that it stays under MaxFrame.
const (
	maxCounts   = 2000
	MaxHoldings = 16
	MaxImages   = 64 // of one machine
	MaxRunTimes = 64
	// MaxWithdrawals bounds the withdrawals that one message tells.
	MaxWithdrawals = 512
)

// Count is a job's progress, for display.
type Count struct {
	Job           string
	Done, Running uint32
}

// Holding is what images a machine holds in one of its sessions.
type Holding struct {
	Machine string
	Session uint64
	Images  []string
}

// RunTimes is what is learnt of a class.
type RunTimes struct {
	Class        string
	Count        uint32
	Mean, Square float64
}

// Withdrawal is a durable withdrawal of a job.
type Withdrawal struct {
	Job string
	// Revision is that of the transaction which made it durable.
	Revision uint64
	// At is the time of day in the job's record.
	At clock.Micros
}

// Beat is one message.
type Beat struct {
	Member  string
	Served  bool
	Leader  string
	Token   uint64
	Workers uint32
	Counts  []Count

	// Life and Stamp are the speaker's, EchoLife and EchoStamp a stamp of the
	// receiver's that it echoes; see package delegation.
	Life      uint64
	Stamp     clock.Micros
	EchoLife  uint64
	EchoStamp clock.Micros
	QuietFor  clock.Micros

	// Holdings and RunTimes are what the next leader would have to learn anew.
	Holdings []Holding
	RunTimes []RunTimes

	// Revision tells how new the speaker's view of the state service is.
	Revision uint64
	// Withdrawals are those that the receiver's view may lack.
	Withdrawals []Withdrawal

	// StandbyVersion is that of the standby messages which the speaker takes, 0 if none.
	StandbyVersion uint8
	// Message and Position, of which a frame that is no beat holds one, are of package
	// standby.
	Message  *standby.Message
	Position *standby.Position
}

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
	counts := b.Counts
	if len(counts) > maxCounts {
		counts = counts[:maxCounts]
	}
	offs := make([]flatbuffers.UOffsetT, len(counts))
	for i := range counts {
		id := fbb.CreateString(counts[i].Job)
		fb.CountStart(fbb)
		fb.CountAddJob(fbb, id)
		fb.CountAddDone(fbb, counts[i].Done)
		fb.CountAddRunning(fbb, counts[i].Running)
		offs[i] = fb.CountEnd(fbb)
	}
	vec := vector(fbb, offs)
	withdrawals := encodeWithdrawals(fbb, b.Withdrawals)
	holdings, runs := encodeHoldings(fbb, b.Holdings), encodeRunTimes(fbb, b.RunTimes)
	member, leader := fbb.CreateString(b.Member), fbb.CreateString(b.Leader)
	message, position := encodeStandby(fbb, b)
	fb.BeatStart(fbb)
	fb.BeatAddMember(fbb, member)
	fb.BeatAddServed(fbb, b.Served)
	fb.BeatAddLeader(fbb, leader)
	fb.BeatAddToken(fbb, b.Token)
	fb.BeatAddWorkers(fbb, b.Workers)
	fb.BeatAddCounts(fbb, vec)
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
	fbb.FinishSizePrefixed(fb.BeatEnd(fbb))
	return fbb.FinishedBytes()
}

// vector writes offsets; all vectors of them are alike.
func vector(fbb *flatbuffers.Builder, offs []flatbuffers.UOffsetT) flatbuffers.UOffsetT {
	fbb.StartVector(flatbuffers.SizeUOffsetT, len(offs), flatbuffers.SizeUOffsetT)
	for i := len(offs) - 1; i >= 0; i-- {
		fbb.PrependUOffsetT(offs[i])
	}
	return fbb.EndVector(len(offs))
}

func encodeHoldings(fbb *flatbuffers.Builder, hs []Holding) flatbuffers.UOffsetT {
	var offs []flatbuffers.UOffsetT
	for _, h := range hs[:min(len(hs), MaxHoldings)] {
		var images []flatbuffers.UOffsetT
		for _, i := range h.Images[:min(len(h.Images), MaxImages)] {
			images = append(images, fbb.CreateString(i))
		}
		vec, machine := vector(fbb, images), fbb.CreateString(h.Machine)
		fb.HoldingStart(fbb)
		fb.HoldingAddMachine(fbb, machine)
		fb.HoldingAddSession(fbb, h.Session)
		fb.HoldingAddImages(fbb, vec)
		offs = append(offs, fb.HoldingEnd(fbb))
	}
	return vector(fbb, offs)
}

func encodeRunTimes(fbb *flatbuffers.Builder, rs []RunTimes) flatbuffers.UOffsetT {
	var offs []flatbuffers.UOffsetT
	for _, r := range rs[:min(len(rs), MaxRunTimes)] {
		class := fbb.CreateString(r.Class)
		fb.RunTimesStart(fbb)
		fb.RunTimesAddClass(fbb, class)
		fb.RunTimesAddCount(fbb, r.Count)
		fb.RunTimesAddMean(fbb, r.Mean)
		fb.RunTimesAddSquare(fbb, r.Square)
		offs = append(offs, fb.RunTimesEnd(fbb))
	}
	return vector(fbb, offs)
}

func encodeWithdrawals(fbb *flatbuffers.Builder, withdrawals []Withdrawal) flatbuffers.UOffsetT {
	var offsets []flatbuffers.UOffsetT
	for _, w := range withdrawals[:min(len(withdrawals), MaxWithdrawals)] {
		job := fbb.CreateString(w.Job)
		fb.WithdrawalStart(fbb)
		fb.WithdrawalAddJob(fbb, job)
		fb.WithdrawalAddRevision(fbb, w.Revision)
		fb.WithdrawalAddAt(fbb, int64(w.At))
		offsets = append(offsets, fb.WithdrawalEnd(fbb))
	}
	return vector(fbb, offsets)
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
	n := r.CountsLength()
	if n > maxCounts || b.Member == "" {
		return nil, errMalformed
	}
	var c fb.Count
	for i := 0; i < n; i++ {
		if !r.Counts(&c, i) {
			return nil, errMalformed
		}
		b.Counts = append(b.Counts, Count{Job: string(c.Job()), Done: c.Done(), Running: c.Running()})
	}
	if r.HoldingsLength() > MaxHoldings || r.RunTimesLength() > MaxRunTimes {
		return nil, errMalformed
	}
	var h fb.Holding
	for i := range r.HoldingsLength() {
		if !r.Holdings(&h, i) || h.ImagesLength() > MaxImages {
			return nil, errMalformed
		}
		v := Holding{Machine: string(h.Machine()), Session: h.Session()}
		for k := range h.ImagesLength() {
			v.Images = append(v.Images, string(h.Images(k)))
		}
		b.Holdings = append(b.Holdings, v)
	}
	var t fb.RunTimes
	for i := range r.RunTimesLength() {
		if !r.RunTimes(&t, i) {
			return nil, errMalformed
		}
		b.RunTimes = append(b.RunTimes, RunTimes{Class: string(t.Class()), Count: t.Count(), Mean: t.Mean(), Square: t.Square()})
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

// Frames cuts a stream into frames.
type Frames struct{ buf []byte }

// Feed adds bytes and calls each for every whole frame.
func (f *Frames) Feed(in []byte, each func(*Beat)) error {
	f.buf = append(f.buf, in...)
	for len(f.buf) >= 4 {
		n := int(binary.LittleEndian.Uint32(f.buf))
		if n < 8 || n > MaxFrame {
			return errMalformed
		}
		if len(f.buf) < 4+n {
			return nil
		}
		b, err := Decode(f.buf[4 : 4+n])
		if err != nil {
			return err
		}
		each(b)
		f.buf = append(f.buf[:0], f.buf[4+n:]...)
	}
	return nil
}

// Link sends beats to one other controller. Only the newest waits: a beat that
// was overtaken says nothing that the newer one does not. The same holds of messages of a
// stream: one at a time is under way, and what it lacks is sent again.
type Link struct {
	dial     Dialer
	addr     string
	mu       sync.Mutex
	beat     []byte
	streamed []byte
	wake     chan struct{}
	done     chan struct{}
}

// Dialer opens a connection to an address.
type Dialer = func(address string, timeout time.Duration) (net.Conn, error)

// NewLink starts a link.
func NewLink(dial Dialer, addr string) *Link {
	l := &Link{dial: dial, addr: addr, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go l.run()
	return l
}

// Close ends the link; nothing may be sent after that.
func (l *Link) Close() { close(l.done) }

// Send replaces the beat that waits to be sent.
func (l *Link) Send(frame []byte) { l.replace(&l.beat, frame) }

// Stream replaces the message of a stream that waits to be sent.
func (l *Link) Stream(frame []byte) { l.replace(&l.streamed, frame) }

// take takes what waits: what a stream tells comes first.
func (l *Link) take() [][]byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	var frames [][]byte
	for _, waiting := range []*[]byte{&l.streamed, &l.beat} {
		if *waiting != nil {
			frames = append(frames, *waiting)
			*waiting = nil
		}
	}
	return frames
}

func (l *Link) replace(waiting *[]byte, frame []byte) {
	l.mu.Lock()
	*waiting = frame
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

const (
	dialTimeout  = 2 * clock.Second
	writeTimeout = 3 * clock.Second
	redialAfter  = 1 * clock.Second
)

func (l *Link) run() {
	var c net.Conn
	defer func() {
		if c != nil {
			c.Close()
		}
	}()
	for {
		select {
		case <-l.done:
			return
		case <-l.wake:
		}
		if c == nil {
			var err error
			if c, err = l.dial(l.addr, dialTimeout.Duration()); err != nil {
				c = nil
				time.Sleep(redialAfter.Duration())
				continue
			}
		}
		if !writeAll(c, l.take()) {
			c.Close()
			c = nil
		}
	}
}

func writeAll(c net.Conn, frames [][]byte) bool {
	for _, frame := range frames {
		if err := c.SetWriteDeadline(time.Now().Add(writeTimeout.Duration())); err != nil {
			return false
		}
		if _, err := c.Write(frame); err != nil {
			return false
		}
	}
	return true
}
