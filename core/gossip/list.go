// Package gossip keeps the list of live entries. Entries exchange it by gossip because
// the platform does not list them.
//
// # Usage
//
//	l := gossip.New(settings, self)
//	l.Merge(received, now)                          // records received from another entry
//	records := l.Records(now)                       // to send to another entry
//	addr, ok := l.NextPeer(seeds, randomValue, now) // the next entry to exchange records with
//	l.RecordFailure(addr, now)                      // that exchange failed
//	offered := l.Offered(now)                       // the entries to send callers to
//
// # Liveness
//
// An entry increments its sequence with each of its own exchanges. Each record carries the time
// since its entry sent it, whoever passes it on. An entry whose last record is older than Lease is
// not live. Its record is kept until ForgetAfter has passed, so that an outdated record that others
// still send does not make it live again.
//
// Callers are not sent to an entry whose last record is older than OfferLease, nor to one with which
// an exchange has failed, until a later record of it arrives: by way of others, if only the path
// between the two is cut.
package gossip

import (
	"cmp"
	"slices"
	"time"

	"amaranthturn/core/fleet"
	"amaranthturn/core/rank"
)

// Settings are the parameters of a List.
type Settings struct {
	// Lease is how long an entry counts as live without an update.
	Lease time.Duration
	// OfferLease is how long an entry is offered to callers without an update.
	OfferLease time.Duration
	// ResumeGrace is how long the entries that were live when this process was paused count as
	// live after it.
	ResumeGrace time.Duration
	// ForgetAfter is how long the record of an unresponsive entry is kept.
	ForgetAfter time.Duration
}

// DefaultSettings suit one exchange per second with one other entry.
var DefaultSettings = Settings{Lease: 5 * time.Second, OfferLease: 3 * time.Second, ResumeGrace: 2 * time.Second, ForgetAfter: 60 * time.Second}

// Record is the record of an entry.
type Record struct {
	Instance      fleet.InstanceID
	Incarnation   fleet.Incarnation
	Sequence      uint64
	Region        fleet.Region
	Zone          fleet.Zone
	Address       string // of the peer listener
	CallerAddress string // of the caller listener
	Leaving       bool
	Age           time.Duration // since the entry sent the record
	// Idle are the services, of those with a limited target, for which the entry got no requests lately.
	Idle []fleet.Service
}

type member struct {
	Record
	sentAt   time.Time // at the latest
	failedAt time.Time // of the last failed exchange with the entry
	// keptUntil is until when the entry counts as live although its record is older, after a pause
	// of this process.
	keptUntil time.Time
}

// List is the list kept by one entry. It is not safe for concurrent use.
type List struct {
	settings Settings
	self     Record
	members  map[fleet.InstanceID]*member
	// resumedAt and pause are those of the last pause of this process.
	resumedAt time.Time
	pause     time.Duration
}

// New returns a list that contains only this entry.
func New(settings Settings, self Record) *List {
	return &List{settings: settings, self: self, members: map[fleet.InstanceID]*member{}}
}

// Leave marks this entry as leaving.
func (l *List) Leave() { l.self.Leaving = true }

// SetIdle sets for which services with a limited target this entry got no requests lately.
func (l *List) SetIdle(services []fleet.Service) { l.self.Idle = services }

// bufferedTime is how long after a pause of this process messages may arrive that have waited in a
// buffer during it.
const bufferedTime = 300 * time.Millisecond

// Merge adds the records that another entry sent at the given time or later. A record that is not
// newer than the known one of the same entry is ignored.
func (l *List) Merge(records []Record, sentAt time.Time) {
	if !l.resumedAt.IsZero() && sentAt.Sub(l.resumedAt) < bufferedTime {
		sentAt = sentAt.Add(-l.pause)
	}
	for _, r := range records {
		if r.Instance == l.self.Instance {
			continue
		}
		m := &member{Record: r, sentAt: sentAt.Add(-min(max(0, r.Age), l.settings.ForgetAfter))}
		if old, ok := l.members[r.Instance]; ok {
			if !isNewer(r, old.Record) {
				continue
			}
			if old.sentAt.After(m.sentAt) {
				m.sentAt = old.sentAt
			}
			m.failedAt, m.keptUntil = old.failedAt, old.keptUntil
		}
		l.members[r.Instance] = m
	}
}

func isNewer(a, b Record) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Sequence > b.Sequence
}

// Records returns the records to send to another entry: that of this entry, with an
// incremented sequence, and those of the live entries.
func (l *List) Records(now time.Time) []Record {
	l.self.Sequence++
	out := []Record{l.self}
	for id, m := range l.members {
		switch age := now.Sub(m.sentAt); {
		case age > l.settings.ForgetAfter:
			delete(l.members, id)
		case age <= l.settings.Lease:
			r := m.Record
			r.Age = max(0, age)
			out = append(out, r)
		}
	}
	sortRecords(out)
	return out
}

// Live returns the records of the other entries that are live and not leaving.
func (l *List) Live(now time.Time) []Record {
	var out []Record
	for _, m := range l.members {
		if l.isLive(m, now) {
			out = append(out, m.Record)
		}
	}
	sortRecords(out)
	return out
}

// Offered returns the records of the other entries that callers may be sent to.
func (l *List) Offered(now time.Time) []Record {
	return slices.DeleteFunc(l.Live(now), func(r Record) bool {
		m := l.members[r.Instance]
		return m.hasFailed() || now.Sub(m.sentAt) > l.settings.OfferLease
	})
}

// RecordFailure records that an exchange with the entry at a peer address has failed.
func (l *List) RecordFailure(addr string, now time.Time) {
	for _, m := range l.members {
		if m.Address == addr {
			m.failedAt = now
		}
	}
}

// hasFailed reports whether an exchange has failed since the entry sent its last record.
func (m *member) hasFailed() bool { return !m.failedAt.IsZero() && !m.sentAt.After(m.failedAt) }

func (l *List) isLive(m *member, now time.Time) bool {
	return !m.Leaving && (now.Sub(m.sentAt) <= l.settings.Lease || now.Before(m.keptUntil))
}

// Position returns this entry's position among the live entries of its zone, and their
// number.
func (l *List) Position(now time.Time) (index, count int) {
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

// Rank returns this entry's position among the live entries for a key. All entries with the same list
// agree on the order.
func (l *List) Rank(key string, now time.Time) int {
	return rank.Position(key, l.candidates(func(Record) bool { return true }, now), l.self.Instance)
}

// RankAmongBusy returns this entry's position among the live entries that get requests for a service, or
// among all if none does, and their number. It is -1 if others get requests and this one does not.
func (l *List) RankAmongBusy(service fleet.Service, key string, now time.Time) (position, count int) {
	ids := l.candidates(func(r Record) bool { return !slices.Contains(r.Idle, service) }, now)
	if len(ids) == 0 {
		ids = l.candidates(func(Record) bool { return true }, now)
	}
	return rank.Position(key, ids, l.self.Instance), len(ids)
}

// candidates returns this entry and the live ones, without those that isCandidate excludes.
func (l *List) candidates(isCandidate func(Record) bool, now time.Time) []fleet.InstanceID {
	var ids []fleet.InstanceID
	if isCandidate(l.self) {
		ids = append(ids, l.self.Instance)
	}
	for id, m := range l.members {
		if l.isLive(m, now) && isCandidate(m.Record) {
			ids = append(ids, id)
		}
	}
	return ids
}

// IsReader reports whether this entry reads the platform's store on behalf of the others. One
// entry of each region does.
func (l *List) IsReader(now time.Time) bool {
	id, _ := l.reader(l.self.Region, now)
	return id == l.self.Instance
}

// Reader returns the peer address of an entry that reads the store. The reader of this
// entry's region has twice the weight of any other; randomValue in [0, 1) selects one. It
// returns false if there is no reader or this entry is the reader.
func (l *List) Reader(randomValue float64, now time.Time) (string, bool) {
	regions := []fleet.Region{l.self.Region, l.self.Region}
	for _, r := range l.Live(now) {
		if !slices.Contains(regions, r.Region) {
			regions = append(regions, r.Region)
		}
	}
	id, addr := l.reader(regions[int(randomValue*float64(len(regions)))], now)
	return addr, id != "" && id != l.self.Instance
}

func (l *List) reader(region fleet.Region, now time.Time) (fleet.InstanceID, string) {
	var ids []fleet.InstanceID
	if !l.self.Leaving && l.self.Region == region {
		ids = append(ids, l.self.Instance)
	}
	for id, m := range l.members {
		if m.Region == region && l.isLive(m, now) {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return "", ""
	}
	first := rank.Top("store", ids, 1)[0]
	if first == l.self.Instance {
		return first, l.self.Address
	}
	return first, l.members[first].Address
}

// Resumed keeps the entries that were live when this process was paused for a while, since it could
// not receive updates in the meantime.
func (l *List) Resumed(pausedAt, now time.Time) {
	l.resumedAt, l.pause = now, now.Sub(pausedAt)
	for _, m := range l.members {
		if pausedAt.Sub(m.sentAt) <= l.settings.Lease {
			m.keptUntil = now.Add(l.settings.ResumeGrace)
		}
	}
}

// sameRegionShare is the share of exchanges within the region, where messages are cheap.
const sameRegionShare = 0.75

// NextPeer returns the peer address for the next exchange. randomValue in [0, 1) selects an
// entry of the region in most cases, otherwise any live entry or a seed. Seeds remain
// candidates so that two groups that lost contact find each other again.
func (l *List) NextPeer(seeds []string, randomValue float64, now time.Time) (string, bool) {
	var candidates, sameRegion []string
	for _, r := range l.reachable(now) {
		candidates = append(candidates, r.Address)
		if r.Region == l.self.Region {
			sameRegion = append(sameRegion, r.Address)
		}
	}
	if randomValue < sameRegionShare && len(sameRegion) > 0 {
		return sameRegion[int(randomValue/sameRegionShare*float64(len(sameRegion)))], true
	}
	if len(sameRegion) > 0 {
		randomValue = (randomValue - sameRegionShare) / (1 - sameRegionShare)
	}
	for _, s := range seeds {
		if s != l.self.Address && !slices.Contains(candidates, s) {
			candidates = append(candidates, s)
		}
	}
	if len(candidates) == 0 {
		return "", false
	}
	return candidates[int(randomValue*float64(len(candidates)))], true
}

// reachable returns the records of the live entries without those with which an exchange has failed
// since, or all if it has failed with each.
func (l *List) reachable(now time.Time) []Record {
	live := l.Live(now)
	reachable := slices.DeleteFunc(slices.Clone(live), func(r Record) bool { return l.members[r.Instance].hasFailed() })
	if len(reachable) == 0 {
		return live
	}
	return reachable
}

func sortRecords(records []Record) {
	slices.SortFunc(records, func(a, b Record) int { return cmp.Compare(a.Instance, b.Instance) })
}
