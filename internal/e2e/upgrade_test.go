package e2e

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"firwood.dev/firwood/wire"
)

// earlier is the version that is upgraded from and gone back to.
var earlier = flag.String("earlier-version", "", "a revision in the repository's history to upgrade from and go back to; the present sources if empty")

// earlierHasStandby tells whether the earlier version knows the settings of the standby.
var earlierHasStandby = flag.Bool("earlier-has-standby", true, "the earlier version knows the settings of the standby")

// Controllers are killed in turn, two within seconds, and come back as another version or
// as the same one, with replicas on wherever a version has them. No rule is broken, and
// everything accepted is served.
func TestStandbyAcrossVersions(t *testing.T) {
	d := deploy(t, lease)
	d.standbySettings(t)
	now := build(t, "")
	before := now
	if *earlier != "" {
		before = build(t, *earlier)
	}
	settings := d.nodes["n0"].settings
	restart := func(name, program string) {
		d.nodes[name].settings = settings
		if program == before && !*earlierHasStandby {
			d.nodes[name].settings = ""
		}
		d.restart(t, name, program)
	}
	d.startAll(t, now)
	submit, is := d.submitter(t), d.waiter(t)
	const rounds = 6
	var ids []string
	for round := range rounds {
		for i, program := range []string{before, now} {
			name := d.names[(round+i)%len(d.names)]
			id := fmt.Sprintf("req-%06d", 2*round+i)
			ids = append(ids, id)
			submit(d.nodes[d.names[(round+2)%len(d.names)]], id, wire.KindArray, 8)
			time.Sleep(time.Duration(round) * 200 * time.Millisecond)
			restart(name, program)
		}
		is(d.nodes[d.names[round%len(d.names)]], ids[len(ids)-1], wire.JobDone)
	}
	for _, id := range ids {
		is(d.nodes["n1"], id, wire.JobDone)
	}
	d.check(t, rounds*16)
}

// An upgrade while jobs run and are cancelled, with a crash and an outage in the middle
// of it; then pipelines, and once these are over a way back that stops part way and is
// taken up again. No rule is broken, and everything accepted is served.
func TestUpgradeAndBack(t *testing.T) {
	d := deploy(t, lease)
	now := build(t, "")
	before := now
	if *earlier != "" {
		before = build(t, *earlier)
	}
	d.startAll(t, before)
	submit, is := d.submitter(t), d.waiter(t)
	number := 0
	next := func() string { number++; return fmt.Sprintf("req-%06d", number) }
	var done, running []string
	// someWork submits at one controller, cancels at another.
	someWork := func(at, other *node) {
		array, service, called := next(), next(), next()
		submit(at, array, wire.KindArray, 5)
		submit(other, service, wire.KindService, 2)
		submit(at, called, wire.KindService, 2)
		is(other, called, wire.JobRunning)
		d.cancel(t, other, called)
		done, running = append(done, array), append(running, service)
	}
	settled := func() {
		t.Helper()
		for _, name := range d.names {
			for _, id := range done {
				is(d.nodes[name], id, wire.JobDone)
			}
			for _, id := range running {
				is(d.nodes[name], id, wire.JobRunning)
			}
		}
	}
	n0, n1, n2 := d.nodes["n0"], d.nodes["n1"], d.nodes["n2"]
	someWork(n0, n1)
	d.restart(t, "n0", now)
	someWork(n1, n0)
	d.state.SetDown(true)
	d.restart(t, "n1", now)
	time.Sleep(time.Second)
	d.state.SetDown(false)
	d.restart(t, "n2", before) // it dies before its turn comes, and is back as it was
	someWork(n2, n1)
	d.restart(t, "n2", now)
	settled()

	first, second, last := next(), next(), next()
	submit(n0, first, wire.KindArray, 4)
	submit(n1, second, wire.KindArray, 4, first)
	submit(n2, last, wire.KindArray, 2, first, second)
	done = append(done, first, second, last)
	settled()

	d.restart(t, "n1", before)
	someWork(n1, n0)
	d.restart(t, "n0", before)
	someWork(n2, n0) // two are back, one is not
	d.restart(t, "n1", now)
	d.restart(t, "n0", now)
	someWork(n0, n2)
	settled()
	d.check(t, 40)
}
