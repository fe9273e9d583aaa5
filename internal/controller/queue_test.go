package controller

import (
	"slices"
	"testing"
)

// Reports go before decisions, decisions before what users ask, and what users
// ask is bounded: in the queue, and in a batch.
func TestRanks(t *testing.T) {
	q := newQueue(900, 2)
	var got []int
	for i := 0; i < 3; i++ {
		for r := rankUser; ; r-- {
			q.post(r, func() { got = append(got, int(r)) })
			if r == rankReport {
				break
			}
		}
	}
	for _, f := range q.take() {
		f()
	}
	if !slices.IsSorted(got) || len(got) != 9 {
		t.Fatalf("order %v", got)
	}
	n := 0
	for q.post(rankUser, func() {}) {
		n++
	}
	if n != leastUserCommands {
		t.Fatalf("%d user commands queued", n)
	}
	if !q.post(rankReport, func() {}) {
		t.Fatal("a report is refused because users ask too much")
	}
	if b := q.take(); len(b) != batchUsers+1 {
		t.Fatalf("a batch of %d", len(b))
	}
}

// Reports of every worker that can be connected fit, with messages of the other
// controllers, whatever the limit of sockets is: once no more than 4,096 did.
func TestQueueGrowsWithTheSockets(t *testing.T) {
	for _, sockets := range []int{900, 3500, 4700, 7100, 20000} {
		q := newQueue(sockets, 2)
		for i := range sockets + 2 {
			if !q.post(rankReport, func() {}) {
				t.Fatalf("%d sockets: report %d is refused", sockets, i)
			}
		}
		users := 0
		for q.post(rankUser, func() {}) {
			users++
		}
		if users < leastUserCommands || users < sockets/4 {
			t.Errorf("%d sockets: %d commands of users", sockets, users)
		}
	}
}

func TestBitmap(t *testing.T) {
	var b bitmap
	for _, i := range []int{0, 7, 8, mostChunk - 1} {
		b.set(i)
	}
	c, err := decodeBitmap(b.encode())
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i < mostChunk; i++ {
		if c.has(i) != (i == 0 || i == 7 || i == 8 || i == mostChunk-1) {
			t.Fatalf("bit %d is %v", i, c.has(i))
		}
	}
	if id, ch, ok := parseDoneKey(doneKey("req-000001", 3)); !ok || id != "req-000001" || ch != 3 {
		t.Fatal(id, ch, ok)
	}
}
