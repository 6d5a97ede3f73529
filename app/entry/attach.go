package entry

import (
	"bytes"
	"context"
	"errors"
	"hash/maphash"
	"sync/atomic"
	"time"

	"amaranthturn/app/node"
	"amaranthturn/core/configsync"
	"amaranthturn/core/fleet"
	"amaranthturn/core/membership"
	"amaranthturn/core/switchover"
	"amaranthturn/core/trace"
	"amaranthturn/io/peer"
)

// Timing of notices.
const (
	// noticeGap is the least time between two notices, so that a burst of
	// changes becomes one.
	noticeGap = 50 * time.Millisecond
	// refreshEvery renews what agents know of their group while promises count.
	refreshEvery = time.Second
)

// noticeBuffer lets a notice wait for a slow stream without blocking the builder.
const noticeBuffer = 1

var errLeaving = errors.New("entry is leaving")

// session is the stream of one agent.
type session struct {
	e        *Entry
	agent    fleet.InstanceID
	inc      fleet.Incarnation
	pool     fleet.Pool
	zone     fleet.Zone
	out      chan peer.Notice
	kick     chan struct{}
	ctx      context.Context
	cancel   context.CancelFunc
	sentRev  fleet.Revision
	sentPlan []byte
	sent     map[fleet.InstanceID]uint64
	seed     maphash.Seed
	entries  uint64
	ack      atomic.Uint64
}

// Attach implements peer.EntryHandler.
func (e *Entry) Attach(first membership.Report) (peer.Session, error) {
	if e.leaving.Load() {
		return nil, errLeaving
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &session{
		e: e, agent: first.Instance, inc: first.Incarnation, pool: first.Pool, zone: first.Zone,
		out: make(chan peer.Notice, noticeBuffer), kick: make(chan struct{}, 1),
		ctx: ctx, cancel: cancel, sent: map[fleet.InstanceID]uint64{}, seed: maphash.MakeSeed(),
	}
	e.memMu.Lock()
	e.sessions[s] = struct{}{}
	e.memMu.Unlock()
	e.log.members.Info().Str("agent", string(s.agent)).Uint64("incarnation", uint64(s.inc)).Msg("agent attached")
	s.Heard(first)
	s.signal()
	go s.run()
	return s, nil
}

// Heard implements peer.Session.
func (s *session) Heard(r membership.Report) {
	e := s.e
	now := e.now()
	e.memMu.Lock()
	before := e.table.Version()
	fresh := e.table.RecordHeartbeat(r, now)
	changed := e.table.Version() != before
	e.memMu.Unlock()
	if !fresh {
		e.opt.Metrics.Count("stale_heartbeats", 1)
		return
	}
	e.learn(r, now)
	if r.WantAck {
		s.ack.Store(r.Sequence)
		s.signal()
	}
	if changed || groupMoves(r) {
		e.notifySessions()
	}
}

// groupMoves tells whether the others of the group need to follow this agent.
func groupMoves(r membership.Report) bool {
	for _, m := range r.Models {
		if m.Intent != 0 || len(m.Promises) > 0 || m.Staged != "" || m.Phase == switchover.PhaseLoading {
			return true
		}
	}
	return false
}

// learn passes a heartbeat to the tables of the request path.
func (e *Entry) learn(r membership.Report, now time.Time) {
	e.reqMu.Lock()
	defer e.reqMu.Unlock()
	e.withdrawBlame(r, now)
	e.picker.RecordLoad(r.Instance, r.Load.Running+r.Load.Queued, now)
	for _, h := range r.Cached {
		e.picker.RecordCachedPrefix(r.Instance, h, now)
	}
	if r.CrashBoot != 0 && e.boots[r.Instance] != r.CrashBoot {
		e.boots[r.Instance] = r.CrashBoot
		e.opt.Metrics.Count("engine_crashes", 1)
		e.ledger.RecordCrash(r.Crashed, now)
	}
}

// Notices implements peer.Session.
func (s *session) Notices() <-chan peer.Notice { return s.out }

// Close implements peer.Session.
func (s *session) Close() {
	s.cancel()
	s.e.memMu.Lock()
	delete(s.e.sessions, s)
	if !s.e.attached(s.agent) {
		s.e.table.ConnectionLost(s.agent, s.inc)
	}
	s.e.memMu.Unlock()
	s.e.log.members.Info().Str("agent", string(s.agent)).Msg(trace.MessageAgentDetached)
	s.e.notifySessions()
}

// attached tells whether an agent has a stream, as after it connected anew before
// the end of the old stream was noticed. memMu is held.
func (e *Entry) attached(id fleet.InstanceID) bool {
	for s := range e.sessions {
		if s.agent == id {
			return true
		}
	}
	return false
}

func (s *session) signal() {
	select {
	case s.kick <- struct{}{}:
	default:
	}
}

// notifySessions makes every session look for something new to tell.
func (e *Entry) notifySessions() {
	e.memMu.Lock()
	defer e.memMu.Unlock()
	for s := range e.sessions {
		s.signal()
	}
}

// closeSessions ends every stream, when the entry stops.
func (e *Entry) closeSessions() {
	e.memMu.Lock()
	defer e.memMu.Unlock()
	for s := range e.sessions {
		s.cancel()
	}
}

// run builds notices whenever something changed.
func (s *session) run() {
	defer close(s.out)
	refresh := time.NewTicker(refreshEvery)
	defer refresh.Stop()
	for {
		all := false
		select {
		case <-s.ctx.Done():
			return
		case <-s.kick:
		case <-refresh.C:
			all = true
		}
		n, ok := s.build(all)
		if !ok {
			continue
		}
		select {
		case <-s.ctx.Done():
			return
		case s.out <- n:
		}
		if !node.Sleep(s.ctx, noticeGap) {
			return
		}
	}
}

// build returns the notice of what the agent was not told yet. With all set the
// rows of a group that is changing are sent again, because their age counts.
func (s *session) build(all bool) (peer.Notice, bool) {
	n := peer.Notice{Plan: s.plan(), Ack: s.ack.Swap(0)}
	now := s.e.now()
	s.e.memMu.Lock()
	list := s.e.table.List()
	rows := s.e.groupRows(list, s.pool, now)
	s.e.memMu.Unlock()
	s.addMembers(&n, rows, all && moving(rows))
	s.addEntries(&n, list)
	return n, n.Plan != nil || len(n.Members) > 0 || n.Replace || n.Entries != nil || n.Ack != 0
}

// plan returns the agent's resolved configuration when it is new to it.
func (s *session) plan() *configsync.SignedPlan {
	doc, rev := s.e.document()
	if doc == nil || rev <= s.sentRev {
		return nil
	}
	s.e.memMu.Lock()
	in, ok := s.e.table.Instance(s.agent)
	s.e.memMu.Unlock()
	if !ok {
		// The list lags behind a new instance: what the agent says of itself
		// holds until then.
		in = s.identity()
	}
	signed, err := configsync.SignPlan(s.e.opt.Ring, s.agent, rev, doc.PlanFor(in))
	if err != nil {
		s.e.log.config.Error().Err(err).Msg("plan cannot be signed")
		return nil
	}
	s.sentRev = rev
	if bytes.Equal(signed.Body, s.sentPlan) {
		signed.Body = nil
	} else {
		s.sentPlan = signed.Body
	}
	return &signed
}

func (s *session) identity() fleet.Instance {
	s.e.memMu.Lock()
	defer s.e.memMu.Unlock()
	in := fleet.Instance{ID: s.agent, Role: fleet.RoleTarget, Zone: s.zone, Pool: s.pool}
	if a, ok := s.e.table.Get(s.agent); ok {
		in.Region = a.Region
	}
	return in
}

// groupRows returns the instances of a pool and what was heard of them. memMu is
// held.
func (e *Entry) groupRows(list []fleet.Instance, p fleet.Pool, now time.Time) []peer.MemberInfo {
	var out []peer.MemberInfo
	listed := map[fleet.InstanceID]bool{}
	for _, in := range list {
		if in.Role != fleet.RoleTarget || in.Pool != p {
			continue
		}
		listed[in.ID] = true
		out = append(out, e.row(in, now))
	}
	for _, a := range e.table.All() {
		if a.Pool == p && !listed[a.Instance] && e.table.StateOf(a, now) == membership.StateLive {
			out = append(out, e.row(fleet.Instance{
				ID: a.Instance, Role: fleet.RoleTarget, Region: a.Region, Zone: a.Zone, Pool: a.Pool, Address: a.Address,
			}, now))
		}
	}
	return out
}

func (e *Entry) row(in fleet.Instance, now time.Time) peer.MemberInfo {
	row := peer.MemberInfo{Instance: in}
	a, ok := e.table.Get(in.ID)
	if !ok {
		row.Models = e.desired(in, nil)
		return row
	}
	row.Incarnation = a.Incarnation
	row.Models = e.desired(in, a.Models)
	row.Heard = true
	row.Lost = e.table.StateOf(a, now) == membership.StateExpired
	row.Age = now.Sub(a.LastSeen)
	row.Instance.Address = a.Address
	row.Instance.Leaving = in.Leaving || a.Leaving
	return row
}

// desired returns the states of an instance's models with the versions that the
// configuration in force wants there. What the instance itself reports lags behind a
// change, and agents would not know with whom they share a new version.
func (e *Entry) desired(in fleet.Instance, states []membership.ModelState) []membership.ModelState {
	doc, _ := e.document()
	if doc == nil {
		return states
	}
	var out []membership.ModelState
	for _, p := range doc.PlanFor(in).Models {
		st := membership.ModelState{Model: p.Model}
		for _, s := range states {
			if s.Model == p.Model {
				st = s
			}
		}
		if st.Desired != p.Version {
			st.Desired, st.Failures = p.Version, 0
		}
		out = append(out, st)
	}
	return out
}

// moving tells whether any member of the group is about to stop serving: promises hold
// on fresh rows only. A group that merely loads beside the old version needs no renewal.
func moving(rows []peer.MemberInfo) bool {
	for _, r := range rows {
		for _, m := range r.Models {
			if m.Intent != 0 {
				return true
			}
		}
	}
	return false
}

// addMembers adds the rows that changed. A row that disappeared makes the whole
// list be sent.
func (s *session) addMembers(n *peer.Notice, rows []peer.MemberInfo, all bool) {
	gone := len(s.sent)
	for _, r := range rows {
		if _, ok := s.sent[r.Instance.ID]; ok {
			gone--
		}
	}
	n.Replace = gone > 0
	if n.Replace {
		s.sent = map[fleet.InstanceID]uint64{}
	}
	for _, r := range rows {
		h := s.hash(r)
		again := all && r.Instance.Zone == s.zone
		if s.sent[r.Instance.ID] == h && !again {
			continue
		}
		s.sent[r.Instance.ID] = h
		n.Members = append(n.Members, r)
	}
}

// hash covers what of a row is worth telling; the progress of chunks is not.
func (s *session) hash(r peer.MemberInfo) uint64 {
	var h maphash.Hash
	h.SetSeed(s.seed)
	maphash.WriteComparable(&h, r.Instance)
	maphash.WriteComparable(&h, r.Incarnation)
	maphash.WriteComparable(&h, r.Lost)
	for _, m := range r.Models {
		maphash.WriteComparable(&h, [4]fleet.Version{m.Desired, m.Serving, m.Staged, fleet.Version(m.Model)})
		maphash.WriteComparable(&h, m.Phase)
		maphash.WriteComparable(&h, m.Intent)
		maphash.WriteComparable(&h, m.Failures)
		for _, p := range m.Promises {
			maphash.WriteComparable(&h, p)
		}
	}
	return max(1, h.Sum64())
}

// addEntries adds the entries that the agent should be attached to.
func (s *session) addEntries(n *peer.Notice, list []fleet.Instance) {
	homes := membership.HomeEntries(list, s.zone, s.pool)
	var h maphash.Hash
	h.SetSeed(s.seed)
	for _, in := range homes {
		maphash.WriteComparable(&h, in)
	}
	if sum := h.Sum64(); len(homes) > 0 && sum != s.entries {
		s.entries = sum
		n.Entries = homes
	}
}
