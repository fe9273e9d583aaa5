package controller

import (
	"maps"
	"slices"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/peer"
)

// learnt is what a leader has told of its fleet, for whoever leads next: which images
// machines hold, how run times compare with estimates, and how long machines took to boot. After each change of the
// lead starts used to wait for fetches of images that were there. It is advice: a wrong
// word costs a fetch or a poor forecast, and is put right by what is seen.
type learnt struct {
	holdings map[string]holding
	runs     map[string]peer.RunTimeStatistics
	boots    map[string][]clock.Micros
}

type holding struct {
	peer.CachedImages
	at clock.Micros
}

// holdingFor is for how long a machine's images are kept that is not told of any more.
const holdingFor = 600 * clock.Second

// learn takes what a leader tells.
func (c *Core) learn(b *peer.Heartbeat, now clock.Micros) {
	if c.learnt.holdings == nil {
		c.learnt = learnt{map[string]holding{}, map[string]peer.RunTimeStatistics{}, map[string][]clock.Micros{}}
	}
	for _, h := range b.CachedImages {
		c.learnt.holdings[h.Machine] = holding{h, now}
	}
	if len(c.learnt.holdings) > 2*len(c.view.rentals)*peer.MaxCachedImageMachines {
		maps.DeleteFunc(c.learnt.holdings, func(_ string, h holding) bool { return now-h.at > holdingFor })
	}
	if len(b.RunTimes) > 0 {
		clear(c.learnt.runs)
		for _, r := range b.RunTimes {
			c.learnt.runs[r.Class] = r
		}
	}
	for _, t := range b.BootTimes {
		if len(c.learnt.boots) < peer.MaxBootTimeTypes || c.learnt.boots[t.MachineType] != nil {
			c.learnt.boots[t.MachineType] = t.Durations
		}
	}
}

// goOn has a new leader go on with what the last one told.
func (l *lead) goOn(now clock.Micros) {
	for name, m := range l.lg.Machines {
		if h, ok := l.c.learnt.holdings[name]; ok {
			m.SetCachedImages(h.Incarnation, h.Images, now)
		}
	}
	for class, r := range l.c.learnt.runs {
		l.pl.RunTimeModel(class).Restore(int(r.Count), r.Mean, r.MeanSquare)
	}
	for typ, boots := range l.c.learnt.boots {
		l.pl.RestoreBootTimes(typ, boots)
	}
}

// toldHolding is what the others were last told of a machine.
type toldHolding struct {
	session uint64
	images  int
	at      clock.Micros
}

const (
	// lookThrough is in how many messages the leader goes through all machines for
	// images that are news to the others.
	lookThrough = 10
	// tellAgain is after how long a machine is told of though nothing has changed: a
	// member may have come back meanwhile.
	tellAgain = holdingFor / 2
)

// tellAnew has all machines told of again, for a member that may not have heard it.
func (l *lead) tellAnew(now clock.Micros) { l.tellSince = now }

// tell adds what the next leader would have to learn anew to a beat: a few machines
// each time, those first of which something has changed, so that a beat costs the same
// in any fleet.
func (l *lead) tell(b *peer.Heartbeat) {
	now := clock.Now()
	all := l.lg.SortedMachines()
	looks := max((len(all)+lookThrough-1)/lookThrough, peer.MaxCachedImageMachines)
	for range min(looks, len(all)) {
		if len(b.CachedImages) >= peer.MaxCachedImageMachines {
			break
		}
		l.toldOf %= len(all)
		m := all[l.toldOf]
		l.toldOf++
		told := toldHolding{m.Incarnation, len(m.ImageUsedAt), now}
		a := l.machines[m.Name]
		if a == nil || len(m.ImageUsedAt) == 0 || m.Incarnation == 0 {
			continue
		}
		isNews := a.told.session != told.session || a.told.images != told.images
		if !isNews && now-a.told.at < tellAgain && a.told.at >= l.tellSince {
			continue
		}
		a.told = told
		images := slices.Sorted(maps.Keys(m.ImageUsedAt))
		b.CachedImages = append(b.CachedImages, peer.CachedImages{Machine: m.Name, Incarnation: m.Incarnation, Images: images[:min(len(images), peer.MaxImagesPerMachine)]})
	}
	for _, class := range l.pl.RunTimeClasses() {
		if n, mean, square := l.pl.RunTimeModel(class).Hint(); n > 0 && len(b.RunTimes) < peer.MaxRunTimeClasses {
			b.RunTimes = append(b.RunTimes, peer.RunTimeStatistics{Class: class, Count: uint32(n), Mean: mean, MeanSquare: square})
		}
	}
	for _, t := range l.c.types {
		if boots := l.pl.RecentBootTimes(t.Name); len(boots) > 0 && len(b.BootTimes) < peer.MaxBootTimeTypes {
			b.BootTimes = append(b.BootTimes, peer.BootTimes{MachineType: t.Name, Durations: boots})
		}
	}
}
