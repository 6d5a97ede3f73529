// Package load decides how much room the targets of a service have and which of them a
// request goes to.
//
// # Usage
//
//	b := load.NewBoard(settings, random)
//	b.SetTargets(targets, now)
//	b.Reported(id, born, requests, now)  // by the process beside the target
//	if id, ok := b.Choose(query, now); ok {
//		b.Started(id, tokens, now)
//		… b.Began(id, tokens) at the first event, b.Ended(id, result, now) …
//	}
//
// # Load patterns
//
// More requests than the targets can batch: requests beyond a target's slots would delay
// the first events of all, so they wait at the entry, where admission is fair and a
// request that cannot be served in time is refused.
//
// Several entries share targets: each knows its own requests exactly and those of others
// from reports, which are some hundred milliseconds old. What is not its own in a report
// fades with the report's age.
//
// Many entries beside few targets: between two reports all would choose the same least
// loaded target. Each prefers home targets of its own, whose load it knows best.
//
// A target that fails fast would attract all requests: each failure keeps requests away
// for a time that doubles.
package load

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"amaranthturn/core/fleet"
)

//go:generate stringer -type=Result -output=load_string.go -linecomment

// Result is how a request on a target ended.
type Result int

// The results.
const (
	ResultDone    Result = iota // done
	ResultFull                  // full
	ResultFailed                // failed
	ResultUnknown               // unknown
)

// Settings are the constants of a Board.
type Settings struct {
	// ReportLife is the age at which what a report says of others' requests counts half.
	ReportLife time.Duration
	// HomeBonus is the load, as a share of the slots, that a home target may be above others
	// and is still chosen: entries that prefer different targets do not fill the same one
	// between two reports.
	HomeBonus float64
	// RemotePenalty is the load, as a share of the slots, that a target of another zone
	// must be below a near one to be chosen.
	RemotePenalty float64
	// FullPause keeps requests away from a target that had no room.
	FullPause time.Duration
	// FailPause is the first pause after a failure; it doubles up to FailPauseMax.
	FailPause, FailPauseMax time.Duration
	// PrefillWeight is the load, in requests, of 1,000 prompt tokens that wait to be read.
	PrefillWeight float64
}

// DefaultSettings suit engines that report a few times a second and links between regions
// that are thin.
var DefaultSettings = Settings{
	ReportLife: 700 * time.Millisecond, HomeBonus: 0.5, RemotePenalty: 0.35,
	FullPause: 60 * time.Millisecond, FailPause: 300 * time.Millisecond, FailPauseMax: 5 * time.Second,
	PrefillWeight: 2,
}

// Target is what a choice needs to know of a target.
type Target struct {
	ID    fleet.InstanceID
	Born  fleet.Incarnation
	Slots int
	Near  bool
	// Home targets are those that this entry prefers among the near ones.
	Home bool
	// Closed targets keep the requests that they have and get no new ones.
	Closed bool
}

type row struct {
	Target
	own      int
	unread   int // prompt tokens of own requests that have not begun
	others   float64
	heard    time.Time
	until    time.Time // no request before
	failures int
	errors   float64 // share of failed requests, averaged
}

// Board is the view of one service's targets. It is not safe for concurrent use.
type Board struct {
	set    Settings
	random *rand.Rand
	rows   map[fleet.InstanceID]*row
	order  []*row
	own    int
}

// NewBoard returns an empty board.
func NewBoard(set Settings, random *rand.Rand) *Board {
	return &Board{set: set, random: random, rows: map[fleet.InstanceID]*row{}}
}

// SetTargets replaces the targets. What is known of a target is kept while its
// incarnation stays the same; requests that run on a removed target still count as own.
func (b *Board) SetTargets(targets []Target) {
	rows := make(map[fleet.InstanceID]*row, len(targets))
	b.order = b.order[:0]
	for _, t := range targets {
		r, ok := b.rows[t.ID]
		if !ok || r.Born != t.Born {
			r = &row{}
		}
		r.Target = t
		rows[t.ID] = r
		b.order = append(b.order, r)
	}
	b.rows = rows
}

// Reported records how many requests run or wait on a target, those of this entry
// included.
func (b *Board) Reported(id fleet.InstanceID, requests int, now time.Time) {
	if r, ok := b.rows[id]; ok {
		r.others = math.Max(0, float64(requests-r.own))
		r.heard = now
	}
}

// Started counts a request that is sent to a target.
func (b *Board) Started(id fleet.InstanceID, promptTokens int) {
	b.own++
	if r, ok := b.rows[id]; ok {
		r.own++
		r.unread += promptTokens
	}
}

// Began records that a request's prompt was read: its first event came.
func (b *Board) Began(id fleet.InstanceID, promptTokens int) {
	if r, ok := b.rows[id]; ok {
		r.unread = max(0, r.unread-promptTokens)
	}
}

// Ended counts the end of a request. unread is its prompt when it had not begun.
func (b *Board) Ended(id fleet.InstanceID, unread int, result Result, now time.Time) {
	b.own = max(0, b.own-1)
	r, ok := b.rows[id]
	if !ok {
		return
	}
	r.own = max(0, r.own-1)
	r.unread = max(0, r.unread-unread)
	switch result {
	case ResultDone:
		r.failures = 0
		r.errors -= r.errors / errorWindow
	case ResultFull:
		r.until = now.Add(b.set.FullPause)
	case ResultFailed:
		r.errors += (1 - r.errors) / errorWindow
		pause := min(b.set.FailPause<<min(r.failures, maxDoubles), b.set.FailPauseMax)
		r.until = now.Add(pause)
		r.failures++
	}
}

const (
	// errorWindow is the number of requests over which failures are averaged.
	errorWindow = 8
	// maxDoubles bounds the doubling of a pause before it is compared with its maximum.
	maxDoubles = 6
	// errorWeight is the load, as a share of the slots, of a target that fails always.
	errorWeight = 3
)

// total returns the requests on a target as far as they are known.
func (b *Board) total(r *row, now time.Time) float64 {
	age := max(0, now.Sub(r.heard))
	return float64(r.own) + r.others*math.Exp2(-float64(age)/float64(b.set.ReportLife))
}

// Room returns the slots that are free by the present view.
func (b *Board) Room(now time.Time) int {
	room := 0
	for _, r := range b.order {
		if b.open(r, now) {
			room += max(0, r.Slots-int(math.Ceil(b.total(r, now))))
		}
	}
	return room
}

// Own returns the requests of this entry in flight.
func (b *Board) Own() int { return b.own }

func (b *Board) open(r *row, now time.Time) bool { return !r.Closed && !now.Before(r.until) }

// Query is what a choice depends on besides the load.
type Query struct {
	// Avoid lists targets that failed the request.
	Avoid []fleet.InstanceID
	// Beyond allows a target whose slots are taken.
	Beyond bool
}

// Choose returns the target with the least load, near ones before others, or false when
// none has room.
func (b *Board) Choose(q Query, now time.Time) (fleet.InstanceID, bool) {
	best, ties := -1, 0
	low := math.Inf(1)
	for i, r := range b.order {
		total := b.total(r, now)
		switch {
		case !b.open(r, now) || slices.Contains(q.Avoid, r.ID):
			continue
		case !q.Beyond && total > float64(r.Slots)-0.5:
			continue
		}
		score := b.score(r, total)
		switch {
		case score < low:
			best, low, ties = i, score, 1
		case score == low:
			ties++
			if b.random.IntN(ties) == 0 {
				best = i
			}
		}
	}
	if best < 0 {
		return "", false
	}
	return b.order[best].ID, true
}

func (b *Board) score(r *row, total float64) float64 {
	score := (total+b.set.PrefillWeight*float64(r.unread)/1000)/float64(max(1, r.Slots)) + errorWeight*r.errors
	switch {
	case r.Home:
		score -= b.set.HomeBonus
	case !r.Near:
		score += b.set.RemotePenalty
	}
	return score
}

// Room is the limit of admission to one board: the requests in flight and the free slots.
type Room struct {
	Board *Board
	// Now tells the time at which the board is looked at.
	Now func() time.Time
}

// Value implements admit.Limiter.
func (r Room) Value() int { return r.Board.Own() + r.Board.Room(r.Now()) }

// Observe implements admit.Limiter; the room is known without it.
func (r Room) Observe(time.Duration, int, time.Time) {}

// IsHome tells whether the target at an index of a zone's sorted list is a home target of
// the entry at an index of the zone's. Every target has an entry and every entry a target.
func IsHome(entry, entries, target, targets int) bool {
	if entries <= 0 || targets <= 0 {
		return false
	}
	if entries >= targets {
		return entry*targets/entries == target
	}
	return target*entries/targets == entry
}
