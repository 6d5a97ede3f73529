// Package league keeps the list of entries that entries tell each other of, since no
// platform lists them.
//
// # Usage
//
//	l := league.New(self)
//	l.Merge(rows, now)             // heard from another entry
//	rows := l.Rows(now)            // to tell another entry
//	addr := l.Partner(seeds, draw) // whom to tell next
//
// # Liveness
//
// An entry raises its sequence at each of its own exchanges. One whose sequence has not
// risen for Lease is not offered to callers; after Forget it is dropped, so that a row of
// it which is still told elsewhere does not bring it back.
package league

import (
	"cmp"
	"slices"
	"time"

	"amaranthturn/core/fleet"
	"amaranthturn/core/rank"
)

// Settings are the constants of a League.
type Settings struct {
	// Lease is how long an entry counts as live without news.
	Lease time.Duration
	// Forget is how long a silent entry is remembered.
	Forget time.Duration
}

// DefaultSettings suit an exchange a second with one other entry.
var DefaultSettings = Settings{Lease: 5 * time.Second, Forget: 60 * time.Second}

// Row is an entry.
type Row struct {
	Instance    fleet.InstanceID
	Incarnation fleet.Incarnation
	Sequence    uint64
	Region      fleet.Region
	Zone        fleet.Zone
	Address     string // of the peer listener
	Caller      string // of the caller listener
	Leaving     bool
}

type member struct {
	Row
	heard time.Time
}

// League is the list of one entry. It is not safe for concurrent use.
type League struct {
	set  Settings
	self Row
	rows map[fleet.InstanceID]*member
}

// New returns a list that holds only this entry.
func New(set Settings, self Row) *League {
	return &League{set: set, self: self, rows: map[fleet.InstanceID]*member{}}
}

// Leave marks this entry as leaving.
func (l *League) Leave() { l.self.Leaving = true }

// Merge takes rows that another entry told.
func (l *League) Merge(rows []Row, now time.Time) {
	for _, r := range rows {
		if r.Instance == l.self.Instance {
			continue
		}
		old, ok := l.rows[r.Instance]
		if ok && !newer(r, old.Row) {
			continue
		}
		l.rows[r.Instance] = &member{Row: r, heard: now}
	}
}

func newer(a, b Row) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Sequence > b.Sequence
}

// Rows returns what to tell another entry: this one, with a raised sequence, and those
// that live.
func (l *League) Rows(now time.Time) []Row {
	l.self.Sequence++
	out := []Row{l.self}
	for id, m := range l.rows {
		switch age := now.Sub(m.heard); {
		case age > l.set.Forget:
			delete(l.rows, id)
		case age <= l.set.Lease:
			out = append(out, m.Row)
		}
	}
	sortRows(out)
	return out
}

// Live returns the other entries that live and do not leave.
func (l *League) Live(now time.Time) []Row {
	var out []Row
	for _, m := range l.rows {
		if now.Sub(m.heard) <= l.set.Lease && !m.Leaving {
			out = append(out, m.Row)
		}
	}
	sortRows(out)
	return out
}

// Place returns this entry's position among the live entries of its zone, and their
// number.
func (l *League) Place(now time.Time) (index, count int) {
	count = 1
	for _, r := range l.Live(now) {
		if r.Zone != l.self.Zone {
			continue
		}
		count++
		if r.Instance < l.self.Instance {
			index++
		}
	}
	return index, count
}

// Reads tells whether this entry reads the platform's store for the others: one entry of
// each region does.
func (l *League) Reads(now time.Time) bool {
	id, _ := l.reader(l.self.Region, now)
	return id == l.self.Instance
}

// Reader returns the peer address of the entry that reads the store for this one: that of
// its region, or another region's when the draw in [0, 1) falls on it.
func (l *League) Reader(draw float64, now time.Time) (string, bool) {
	regions := []fleet.Region{l.self.Region, l.self.Region}
	for _, r := range l.Live(now) {
		if !slices.Contains(regions, r.Region) {
			regions = append(regions, r.Region)
		}
	}
	id, addr := l.reader(regions[int(draw*float64(len(regions)))], now)
	return addr, id != "" && id != l.self.Instance
}

func (l *League) reader(region fleet.Region, now time.Time) (fleet.InstanceID, string) {
	rows := l.Live(now)
	if !l.self.Leaving {
		rows = append(rows, l.self)
	}
	var ids []fleet.InstanceID
	addr := map[fleet.InstanceID]string{}
	for _, r := range rows {
		if r.Region == region {
			ids = append(ids, r.Instance)
			addr[r.Instance] = r.Address
		}
	}
	if len(ids) == 0 {
		return "", ""
	}
	first := rank.Top("store", ids, 1)[0]
	return first, addr[first]
}

// Resumed renews the leases after a pause of this process, in which nothing could be heard.
func (l *League) Resumed(now time.Time) {
	for _, m := range l.rows {
		m.heard = now
	}
}

// nearShare is the part of the exchanges that stay in the region, where messages are cheap.
const nearShare = 0.75

// Partner returns the peer address for the next exchange: mostly an entry of the region,
// else any live entry or a seed, as the draw in [0, 1) falls. Seeds stay in the draw, so
// that two groups which lost each other meet again.
func (l *League) Partner(seeds []string, draw float64, now time.Time) (string, bool) {
	var list, near []string
	for _, r := range l.Live(now) {
		list = append(list, r.Address)
		if r.Region == l.self.Region {
			near = append(near, r.Address)
		}
	}
	if draw < nearShare && len(near) > 0 {
		return near[int(draw/nearShare*float64(len(near)))], true
	}
	if len(near) > 0 {
		draw = (draw - nearShare) / (1 - nearShare)
	}
	for _, s := range seeds {
		if s != l.self.Address && !slices.Contains(list, s) {
			list = append(list, s)
		}
	}
	if len(list) == 0 {
		return "", false
	}
	return list[int(draw*float64(len(list)))], true
}

func sortRows(rows []Row) {
	slices.SortFunc(rows, func(a, b Row) int { return cmp.Compare(a.Instance, b.Instance) })
}
