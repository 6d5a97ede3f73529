package entry

import (
	"bytes"
	"context"
	"errors"
	"hash/maphash"
	"sync/atomic"
	"time"

	"amaranthturn/app/daemon"
	"amaranthturn/core/configsync"
	"amaranthturn/core/fleet"
	"amaranthturn/core/membership"
	"amaranthturn/core/switchover"
	"amaranthturn/core/trace"
	"amaranthturn/io/peer"
)

// Timing of notices.
const (
	// minNoticeInterval is the minimum interval between two notices, so that a burst of
	// changes is sent as one.
	minNoticeInterval = 50 * time.Millisecond
	// refreshInterval is the interval at which agents receive the state of their group
	// again while a member has an intent: promises are valid only for a limited time.
	refreshInterval = time.Second
)

// noticeBufferSize allows a notice to wait for a slow stream without blocking the session's
// loop.
const noticeBufferSize = 1

var errLeaving = errors.New("entry is leaving")

// session is the entry's side of the stream of one agent.
type session struct {
	e               *Entry
	agent           fleet.InstanceID
	incarnation     fleet.Incarnation
	pool            fleet.Pool
	zone            fleet.Zone
	notices         chan peer.Notice
	wakeup          chan struct{}
	ctx             context.Context
	cancel          context.CancelFunc
	sent            [2]fleet.Position // at which the last plan's document was written and held
	sentPlan        []byte
	sentHashes      map[fleet.InstanceID]uint64
	seed            maphash.Seed
	sentEntriesHash uint64
	pendingAck      atomic.Uint64
}

// Attach implements peer.EntryHandler.
func (e *Entry) Attach(first membership.Report) (peer.Session, error) {
	if e.leaving.Load() {
		return nil, errLeaving
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &session{
		e: e, agent: first.Instance, incarnation: first.Incarnation, pool: first.Pool, zone: first.Zone,
		notices: make(chan peer.Notice, noticeBufferSize), wakeup: make(chan struct{}, 1),
		ctx: ctx, cancel: cancel, sentHashes: map[fleet.InstanceID]uint64{}, seed: maphash.MakeSeed(),
	}
	e.memMu.Lock()
	e.sessions[s] = struct{}{}
	e.memMu.Unlock()
	e.log.members.Info().Str("agent", string(s.agent)).Uint64("incarnation", uint64(s.incarnation)).Msg("agent attached")
	s.RecordHeartbeat(first)
	s.signal()
	go s.run()
	return s, nil
}

// RecordHeartbeat implements peer.Session.
func (s *session) RecordHeartbeat(r membership.Report) {
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
	e.recordAgentPosition(r.Position, r.Instance)
	e.updateRequestState(r, now)
	if r.WantAck {
		s.pendingAck.Store(r.Sequence)
		s.signal()
	}
	if changed || affectsGroup(r) {
		e.notifySessions()
	}
}

// affectsGroup reports whether the other members of the group need the current state of
// this agent.
func affectsGroup(r membership.Report) bool {
	for _, m := range r.Models {
		if m.Intent != 0 || len(m.Promises) > 0 || m.Staged != "" || m.Phase == switchover.PhaseLoading {
			return true
		}
	}
	return false
}

// updateRequestState applies a heartbeat to the tables of the request path.
func (e *Entry) updateRequestState(r membership.Report, now time.Time) {
	e.reqMu.Lock()
	defer e.reqMu.Unlock()
	e.retractCrash(r, now)
	e.picker.RecordLoad(r.Instance, r.Load.Running+r.Load.Queued, now)
	for _, h := range r.Cached {
		e.picker.RecordCachedPrefix(r.Instance, h, now)
	}
	if r.CrashedIncarnation != 0 && e.crashedIncarnations[r.Instance] != r.CrashedIncarnation {
		e.crashedIncarnations[r.Instance] = r.CrashedIncarnation
		e.opt.Metrics.Count("engine_crashes", 1)
		e.recordBlame(engineCrash(r), r.Crashed, now)
	}
}

// Notices implements peer.Session.
func (s *session) Notices() <-chan peer.Notice { return s.notices }

// Close implements peer.Session.
func (s *session) Close() {
	s.cancel()
	s.e.memMu.Lock()
	delete(s.e.sessions, s)
	if !s.e.isAttached(s.agent) {
		s.e.table.ConnectionLost(s.agent, s.incarnation)
	}
	s.e.memMu.Unlock()
	s.e.log.members.Info().Str("agent", string(s.agent)).Msg(trace.MessageAgentDetached)
	s.e.notifySessions()
}

// isAttached reports whether an agent has a stream. This is the case after the end of an
// old stream if the agent reconnected before that end was detected. memMu must be held.
func (e *Entry) isAttached(id fleet.InstanceID) bool {
	for s := range e.sessions {
		if s.agent == id {
			return true
		}
	}
	return false
}

func (s *session) signal() {
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}

// notifySessions makes every session check for changes to send.
func (e *Entry) notifySessions() {
	e.memMu.Lock()
	defer e.memMu.Unlock()
	for s := range e.sessions {
		s.signal()
	}
}

// closeSessions ends every stream when the entry stops.
func (e *Entry) closeSessions() {
	e.memMu.Lock()
	defer e.memMu.Unlock()
	for s := range e.sessions {
		s.cancel()
	}
}

// run builds and sends notices when something has changed.
func (s *session) run() {
	defer close(s.notices)
	refresh := time.NewTicker(refreshInterval)
	defer refresh.Stop()
	for {
		resend := false
		select {
		case <-s.ctx.Done():
			return
		case <-s.wakeup:
		case <-refresh.C:
			resend = true
		}
		n, ok := s.buildNotice(resend)
		if !ok {
			continue
		}
		select {
		case <-s.ctx.Done():
			return
		case s.notices <- n:
		}
		if !daemon.Sleep(s.ctx, minNoticeInterval) {
			return
		}
	}
}

// buildNotice returns a notice of the changes that were not sent to the agent yet. If
// resend is set and a member of the group has an intent, the members in the agent's zone
// are sent again, because promises depend on the age of their state.
func (s *session) buildNotice(resend bool) (peer.Notice, bool) {
	n := peer.Notice{Plan: s.plan(), Ack: s.pendingAck.Swap(0)}
	now := s.e.now()
	s.e.memMu.Lock()
	list := s.e.table.List()
	members := s.e.groupMembers(list, s.pool, now)
	s.e.memMu.Unlock()
	s.addMembers(&n, members, resend && hasIntent(members))
	s.addEntries(&n, list)
	return n, n.Plan != nil || len(n.Members) > 0 || n.Replace || n.Entries != nil || n.Ack != 0
}

// plan returns the agent's resolved configuration if it changed since it was last sent, and
// nil otherwise.
func (s *session) plan() *configsync.SignedPlan {
	inForce := s.e.inForce.Load()
	if inForce == nil || s.sent == [2]fleet.Position{inForce.at, inForce.held} {
		return nil
	}
	s.e.memMu.Lock()
	in, ok := s.e.table.Instance(s.agent)
	s.e.memMu.Unlock()
	if !ok {
		// The instance list lags behind a new instance. The identity that the agent
		// reports is used until the list contains it.
		in = s.identity()
	}
	signed, err := configsync.SignPlan(s.e.opt.Ring, s.agent, inForce.at, inForce.held, inForce.doc.PlanFor(in))
	if err != nil {
		s.e.log.config.Error().Err(err).Msg("cannot sign plan")
		return nil
	}
	s.sent = [2]fleet.Position{inForce.at, inForce.held}
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

// groupMembers returns the instances of a pool with their last reported state. memMu must
// be held.
func (e *Entry) groupMembers(list []fleet.Instance, pool fleet.Pool, now time.Time) []peer.MemberInfo {
	var out []peer.MemberInfo
	listed := map[fleet.InstanceID]bool{}
	for _, in := range list {
		if in.Role != fleet.RoleTarget || in.Pool != pool {
			continue
		}
		listed[in.ID] = true
		out = append(out, e.memberInfo(in, now))
	}
	for _, a := range e.table.All() {
		if a.Pool == pool && !listed[a.Instance] && e.table.StateOf(a, now) == membership.StateLive {
			out = append(out, e.memberInfo(fleet.Instance{
				ID: a.Instance, Role: fleet.RoleTarget, Region: a.Region, Zone: a.Zone, Pool: a.Pool, Address: a.Address,
			}, now))
		}
	}
	return out
}

func (e *Entry) memberInfo(in fleet.Instance, now time.Time) peer.MemberInfo {
	info := peer.MemberInfo{Instance: in}
	agent, ok := e.table.Get(in.ID)
	if !ok {
		info.Models = e.withDesiredVersions(in, nil)
		return info
	}
	info.Incarnation = agent.Incarnation
	info.Models = e.withDesiredVersions(in, agent.Models)
	info.HasHeartbeat = true
	info.LeaseExpired = e.table.StateOf(agent, now) == membership.StateExpired
	info.Age = now.Sub(agent.LastSeen)
	info.Instance.Address = agent.Address
	info.Instance.Leaving = in.Leaving || agent.Leaving
	return info
}

// withDesiredVersions returns the states of an instance's models with the versions that the
// configuration in force assigns to it. The instance's own report lags behind a change,
// and agents would not know which members are to serve the same new version.
func (e *Entry) withDesiredVersions(in fleet.Instance, states []membership.ModelState) []membership.ModelState {
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

// hasIntent reports whether any member of the group intends to stop serving. Its state is
// then resent, because promises are valid only for recent state. A group that loads a new
// version while it still serves the old one needs no resend.
func hasIntent(members []peer.MemberInfo) bool {
	for _, member := range members {
		for _, m := range member.Models {
			if m.Intent != 0 {
				return true
			}
		}
	}
	return false
}

// addMembers adds the members that changed. If a member was removed, the full list is
// sent.
func (s *session) addMembers(n *peer.Notice, members []peer.MemberInfo, resend bool) {
	removed := len(s.sentHashes)
	for _, member := range members {
		if _, ok := s.sentHashes[member.Instance.ID]; ok {
			removed--
		}
	}
	n.Replace = removed > 0
	if n.Replace {
		s.sentHashes = map[fleet.InstanceID]uint64{}
	}
	for _, member := range members {
		h := s.memberHash(member)
		resendMember := resend && member.Instance.Zone == s.zone
		if s.sentHashes[member.Instance.ID] == h && !resendMember {
			continue
		}
		s.sentHashes[member.Instance.ID] = h
		n.Members = append(n.Members, member)
	}
}

// memberHash returns a hash of the state of a member that agents need. It excludes the
// chunk counts, so that download progress causes no notices.
func (s *session) memberHash(member peer.MemberInfo) uint64 {
	var h maphash.Hash
	h.SetSeed(s.seed)
	maphash.WriteComparable(&h, member.Instance)
	maphash.WriteComparable(&h, member.Incarnation)
	maphash.WriteComparable(&h, member.LeaseExpired)
	for _, m := range member.Models {
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

// addEntries adds the entries that the agent should attach to if they changed since they
// were last sent.
func (s *session) addEntries(n *peer.Notice, list []fleet.Instance) {
	homeEntries := membership.HomeEntries(list, s.zone, s.pool)
	var h maphash.Hash
	h.SetSeed(s.seed)
	for _, in := range homeEntries {
		maphash.WriteComparable(&h, in)
	}
	if hash := h.Sum64(); len(homeEntries) > 0 && hash != s.sentEntriesHash {
		s.sentEntriesHash = hash
		n.Entries = homeEntries
	}
}
