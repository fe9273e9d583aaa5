package core

import (
	"maps"
	"slices"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/peer"
)

// learnt is what a leader has told of its fleet, for whoever leads next: which images
// machines hold, and how run times compare with estimates. After each change of the
// lead starts used to wait for fetches of images that were there. It is advice: a wrong
// word costs a fetch or a poor forecast, and is put right by what is seen.
type learnt struct {
	holdings map[string]holding
	runs     map[string]peer.RunTimes
}

type holding struct {
	peer.Holding
	at clock.Micros
}

// holdingFor is for how long a machine's images are kept that is not told of any more.
const holdingFor = 600 * clock.Second

// learn takes what a leader tells.
func (c *Core) learn(b *peer.Beat, now clock.Micros) {
	if c.learnt.holdings == nil {
		c.learnt = learnt{map[string]holding{}, map[string]peer.RunTimes{}}
	}
	for _, h := range b.Holdings {
		c.learnt.holdings[h.Machine] = holding{h, now}
	}
	if len(c.learnt.holdings) > 2*len(c.view.rentals)*peer.MaxHoldings {
		maps.DeleteFunc(c.learnt.holdings, func(_ string, h holding) bool { return now-h.at > holdingFor })
	}
	if len(b.RunTimes) > 0 {
		clear(c.learnt.runs)
		for _, r := range b.RunTimes {
			c.learnt.runs[r.Class] = r
		}
	}
}

// goOn has a new leader go on with what the last one told.
func (l *lead) goOn(now clock.Micros) {
	for name, m := range l.lg.Machines {
		if h, ok := l.c.learnt.holdings[name]; ok {
			m.Says(h.Session, h.Images, now)
		}
	}
	for class, r := range l.c.learnt.runs {
		l.pl.Class(class).GoOn(int(r.Count), r.Mean, r.Square)
	}
}

// tell adds what the next leader would have to learn anew to a beat: a few machines
// each time, so that a beat costs the same in any fleet.
func (l *lead) tell(b *peer.Beat) {
	all := l.lg.ByName()
	for range min(peer.MaxHoldings, len(all)) {
		l.toldOf %= len(all)
		if m := all[l.toldOf]; len(m.Images) > 0 && m.Session > 0 {
			images := slices.Sorted(maps.Keys(m.Images))
			b.Holdings = append(b.Holdings, peer.Holding{Machine: m.Name, Session: m.Session, Images: images[:min(len(images), peer.MaxImages)]})
		}
		l.toldOf++
	}
	for _, class := range l.pl.Classes() {
		if n, mean, square := l.pl.Class(class).State(); n > 0 && len(b.RunTimes) < peer.MaxRunTimes {
			b.RunTimes = append(b.RunTimes, peer.RunTimes{Class: class, Count: uint32(n), Mean: mean, Square: square})
		}
	}
}
