package peer

import (
	"errors"
	"time"

	"amaranthturn/core/configsync"
	"amaranthturn/core/crashblame"
	"amaranthturn/core/fleet"
	"amaranthturn/core/keys"
	"amaranthturn/core/membership"
	"amaranthturn/core/swarm"
	"amaranthturn/core/switchover"
	"amaranthturn/io/peer/peerpb"
)

func positionFromWire(era, rev uint64) fleet.Position {
	return fleet.Position{Era: fleet.Era(era), Revision: fleet.Revision(rev)}
}

func reportToWire(r membership.Report) *peerpb.AgentReport {
	out := &peerpb.AgentReport{
		Instance: string(r.Instance), Incarnation: uint64(r.Incarnation), Region: string(r.Region),
		AvailabilityZone: string(r.Zone), Pool: string(r.Pool), Address: r.Address,
		Revision: uint64(r.Position.Revision), Era: uint64(r.Position.Era), Leaving: r.Leaving, Models: modelsToWire(r.Models),
		Load:           loadToWire(r.Load),
		CachedPrefixes: r.Cached, Sequence: r.Sequence,
		Services: stringsOf(r.Services), OriginBytes: uint64(r.OriginBytes), PeerBytes: uint64(r.PeerBytes), ChecksOrders: r.ChecksCommandSender, WantAck: r.WantAck, CrashBoot: r.CrashedIncarnation,
	}
	for _, f := range r.Crashed {
		out.CrashedRequests = append(out.CrashedRequests, uint64(f))
	}
	return out
}

func reportFromWire(p *peerpb.AgentReport) membership.Report {
	r := membership.Report{
		Instance: fleet.InstanceID(p.GetInstance()), Incarnation: fleet.Incarnation(p.GetIncarnation()),
		Region: fleet.Region(p.GetRegion()), Zone: fleet.Zone(p.GetAvailabilityZone()), Pool: fleet.Pool(p.GetPool()),
		Address: p.GetAddress(), Position: positionFromWire(p.GetEra(), p.GetRevision()), Leaving: p.GetLeaving(),
		Models: modelsFromWire(p.GetModels()), Load: loadFromWire(p.GetLoad()),
		Services: servicesOf(p.GetServices()), Cached: p.GetCachedPrefixes(), Sequence: p.GetSequence(),
		OriginBytes: fleet.Bytes(p.GetOriginBytes()), PeerBytes: fleet.Bytes(p.GetPeerBytes()), ChecksCommandSender: p.GetChecksOrders(), WantAck: p.GetWantAck(), CrashedIncarnation: p.GetCrashBoot(),
	}
	for _, f := range p.GetCrashedRequests() {
		r.Crashed = append(r.Crashed, fleet.Fingerprint(f))
	}
	return r
}

// briefReportToWire returns the brief form of a heartbeat. It omits the fields that
// rarely change and equal those of the last full heartbeat.
func briefReportToWire(r membership.Report) *peerpb.AgentReport {
	return &peerpb.AgentReport{
		Same: true, Sequence: r.Sequence, Load: loadToWire(r.Load), CachedPrefixes: r.Cached,
		OriginBytes: uint64(r.OriginBytes), PeerBytes: uint64(r.PeerBytes), WantAck: r.WantAck,
	}
}

// applyBrief completes a brief heartbeat with the fields of the last full one.
func applyBrief(last membership.Report, p *peerpb.AgentReport) membership.Report {
	last.Sequence = p.GetSequence()
	last.Load = loadFromWire(p.GetLoad())
	last.Cached = p.GetCachedPrefixes()
	last.OriginBytes = fleet.Bytes(p.GetOriginBytes())
	last.PeerBytes = fleet.Bytes(p.GetPeerBytes())
	last.Crashed = nil
	last.WantAck = p.GetWantAck()
	return last
}

func loadToWire(l membership.Load) *peerpb.LoadReport {
	return &peerpb.LoadReport{
		Running: uint32(l.Running), Queued: uint32(l.Queued),
		Capacity: uint32(l.Capacity), CacheUsed: l.CacheUsed,
	}
}

func loadFromWire(p *peerpb.LoadReport) membership.Load {
	return membership.Load{
		Running: int(p.GetRunning()), Queued: int(p.GetQueued()),
		Capacity: int(p.GetCapacity()), CacheUsed: p.GetCacheUsed(),
	}
}

func modelsToWire(list []membership.ModelState) []*peerpb.ModelState {
	var out []*peerpb.ModelState
	for _, m := range list {
		w := &peerpb.ModelState{
			Model: string(m.Model), Desired: string(m.Desired), Serving: string(m.Serving), Staged: string(m.Staged),
			Phase: int32(m.Phase), ChunksHeld: uint32(m.ChunksHeld), ChunksTotal: uint32(m.ChunksTotal),
			WaitsFor: m.WaitsFor, LoadFailures: uint32(m.Failures), Intent: m.Intent, CanHoldTwo: m.TwoSlots,
		}
		for _, v := range m.Loaded {
			w.Loaded = append(w.Loaded, string(v))
		}
		for _, p := range m.Promises {
			w.Promises = append(w.Promises, &peerpb.Promise{To: string(p.To), Nonce: p.Nonce})
		}
		out = append(out, w)
	}
	return out
}

func modelsFromWire(list []*peerpb.ModelState) []membership.ModelState {
	var out []membership.ModelState
	for _, w := range list {
		m := membership.ModelState{
			Model: fleet.Model(w.GetModel()), Desired: fleet.Version(w.GetDesired()),
			Serving: fleet.Version(w.GetServing()), Staged: fleet.Version(w.GetStaged()),
			Phase: switchover.Phase(w.GetPhase()), ChunksHeld: int(w.GetChunksHeld()), ChunksTotal: int(w.GetChunksTotal()),
			WaitsFor: w.GetWaitsFor(), Failures: int(w.GetLoadFailures()), Intent: w.GetIntent(), TwoSlots: w.GetCanHoldTwo(),
		}
		for _, v := range w.GetLoaded() {
			m.Loaded = append(m.Loaded, fleet.Version(v))
		}
		for _, p := range w.GetPromises() {
			m.Promises = append(m.Promises, switchover.Promise{To: fleet.InstanceID(p.GetTo()), Nonce: p.GetNonce()})
		}
		out = append(out, m)
	}
	return out
}

func noticeToWire(n Notice) *peerpb.AgentNotice {
	out := &peerpb.AgentNotice{MembersSet: n.Replace, Ack: n.Ack}
	if n.Plan != nil {
		out.Revision = uint64(n.Plan.Position.Revision)
		out.Era = uint64(n.Plan.Position.Era)
		if n.Plan.Held.Era > 0 {
			out.HeldEra, out.HeldRevision = uint64(n.Plan.Held.Era), uint64(n.Plan.Held.Revision)
		}
		out.Plan = n.Plan.Body
		out.PlanMac = n.Plan.MAC.Sum
		out.KeyId = string(n.Plan.MAC.Key)
	}
	for _, m := range n.Members {
		out.Members = append(out.Members, memberToWire(m))
	}
	for _, e := range n.Entries {
		out.Entries = append(out.Entries, &peerpb.EntryAddress{
			Instance: string(e.ID), Address: e.Address, AvailabilityZone: string(e.Zone),
		})
	}
	return out
}

func noticeFromWire(p *peerpb.AgentNotice) Notice {
	n := Notice{Replace: p.GetMembersSet(), Ack: p.GetAck()}
	if len(p.GetPlanMac()) > 0 {
		n.Plan = &configsync.SignedPlan{
			Position: positionFromWire(p.GetEra(), p.GetRevision()), Held: positionFromWire(p.GetHeldEra(), p.GetHeldRevision()),
			Body: nilIfEmpty(p.GetPlan()), MAC: keys.MAC{Key: keys.ID(p.GetKeyId()), Sum: p.GetPlanMac()},
		}
		if n.Plan.Held.Era == 0 {
			n.Plan.Held = n.Plan.Position
		}
	}
	for _, m := range p.GetMembers() {
		n.Members = append(n.Members, memberFromWire(m))
	}
	for _, e := range p.GetEntries() {
		n.Entries = append(n.Entries, fleet.Instance{
			ID: fleet.InstanceID(e.GetInstance()), Role: fleet.RoleEntry,
			Address: e.GetAddress(), Zone: fleet.Zone(e.GetAvailabilityZone()),
		})
	}
	return n
}

// noHeartbeat is the age of a member from which no heartbeat was received.
const noHeartbeat = -1

func memberToWire(m MemberInfo) *peerpb.Member {
	age := int64(noHeartbeat)
	if m.HasHeartbeat {
		age = m.Age.Milliseconds()
	}
	return &peerpb.Member{
		Instance: string(m.Instance.ID), Region: string(m.Instance.Region), AvailabilityZone: string(m.Instance.Zone),
		Address: m.Instance.Address, Incarnation: uint64(m.Incarnation), Leaving: m.Instance.Leaving,
		Models: modelsToWire(m.Models), AgeMs: age, Lost: m.LeaseExpired,
	}
}

func memberFromWire(p *peerpb.Member) MemberInfo {
	return MemberInfo{
		Instance: fleet.Instance{
			ID: fleet.InstanceID(p.GetInstance()), Role: fleet.RoleTarget, Region: fleet.Region(p.GetRegion()),
			Zone: fleet.Zone(p.GetAvailabilityZone()), Address: p.GetAddress(), Leaving: p.GetLeaving(),
		},
		Incarnation:  fleet.Incarnation(p.GetIncarnation()),
		Models:       modelsFromWire(p.GetModels()),
		HasHeartbeat: p.GetAgeMs() >= 0,
		LeaseExpired: p.GetLost(),
		Age:          nonNegativeMillis(p.GetAgeMs()),
	}
}

func generateToWire(r GenerateRequest) *peerpb.GenerateRequest {
	return &peerpb.GenerateRequest{
		RequestId: r.RequestID, Workspace: string(r.Workspace), Model: string(r.Model), Class: r.Class.String(),
		Body: r.Body, Version: string(r.Version), ResumeFrom: uint32(r.ResumeFrom), DeadlineUnixMs: unixMillis(r.Deadline),
		Fingerprint: uint64(r.Fingerprint), Incarnation: uint64(r.Incarnation), Solo: r.Exclusive,
	}
}

func generateFromWire(p *peerpb.GenerateRequest) GenerateRequest {
	c, _ := fleet.ParseClass(p.GetClass())
	return GenerateRequest{
		RequestID: p.GetRequestId(), Workspace: fleet.Workspace(p.GetWorkspace()), Model: fleet.Model(p.GetModel()), Class: c,
		Body: p.GetBody(), Version: fleet.Version(p.GetVersion()), ResumeFrom: int(p.GetResumeFrom()),
		Deadline: fromUnixMillis(p.GetDeadlineUnixMs()), Fingerprint: fleet.Fingerprint(p.GetFingerprint()),
		Incarnation: fleet.Incarnation(p.GetIncarnation()), Exclusive: p.GetSolo(),
	}
}

func eventToWire(e GenerateEvent) *peerpb.GenerateEvent {
	return &peerpb.GenerateEvent{
		Version: string(e.Version), Index: uint32(e.Index), Token: e.Token, Done: e.Done,
		FinishReason: e.FinishReason, CanResume: e.CanResume, Refusal: refusalToWire(e.Refusal),
	}
}

func eventFromWire(p *peerpb.GenerateEvent) GenerateEvent {
	return GenerateEvent{
		Version: fleet.Version(p.GetVersion()), Index: int(p.GetIndex()), Token: p.GetToken(), Done: p.GetDone(),
		FinishReason: p.GetFinishReason(), CanResume: p.GetCanResume(), Refusal: refusalFromWire(p.GetRefusal()),
	}
}

func refusalToWire(r *fleet.Refusal) *peerpb.Refusal {
	if r == nil {
		return nil
	}
	return &peerpb.Refusal{Outcome: int32(r.Outcome), Reason: string(r.Reason), RetryAfterMs: r.RetryAfter.Milliseconds()}
}

func refusalFromWire(p *peerpb.Refusal) *fleet.Refusal {
	if p == nil {
		return nil
	}
	return &fleet.Refusal{
		Outcome: fleet.Outcome(p.GetOutcome()), Reason: fleet.Reason(p.GetReason()),
		RetryAfter: nonNegativeMillis(p.GetRetryAfterMs()),
	}
}

func callToWire(c Call) *peerpb.CallRequest {
	return &peerpb.CallRequest{
		RequestId: c.RequestID, Workspace: string(c.Workspace), Service: string(c.Service), Method: c.Method,
		Path: c.Path, ContentType: c.ContentType, Body: c.Body, DeadlineUnixMs: unixMillis(c.Deadline),
	}
}

func callFromWire(p *peerpb.CallRequest) Call {
	return Call{
		RequestID: p.GetRequestId(), Workspace: fleet.Workspace(p.GetWorkspace()), Service: fleet.Service(p.GetService()),
		Method: p.GetMethod(), Path: p.GetPath(), ContentType: p.GetContentType(), Body: p.GetBody(),
		Deadline: fromUnixMillis(p.GetDeadlineUnixMs()),
	}
}

func replyToWire(r Reply) *peerpb.CallReply {
	return &peerpb.CallReply{
		Status: int32(r.Status), ContentType: r.ContentType, Body: r.Body, Unframed: r.Unframed, Refusal: refusalToWire(r.Refusal),
	}
}

func replyFromWire(p *peerpb.CallReply) Reply {
	return Reply{
		Status: int(p.GetStatus()), ContentType: p.GetContentType(), Body: p.GetBody(), Unframed: p.GetUnframed(), Refusal: refusalFromWire(p.GetRefusal()),
	}
}

// The statuses that end a request.
const (
	minStatus = 200
	maxStatus = 999
)

// errInvalidReply reports a reply that callers cannot get.
var errInvalidReply = errors.New("reply has neither a refusal nor the status of a response")

// checkReply returns the reply of the agent at addr. Agents of an earlier version pass on any status of
// their services.
func checkReply(addr string, p *peerpb.CallReply) (Reply, error) {
	r := replyFromWire(p)
	if r.Refusal == nil && (r.Status < minStatus || r.Status > maxStatus) {
		return Reply{}, &ConnectionError{Address: addr, Cause: errInvalidReply}
	}
	return r, nil
}

func updateToWire(u configsync.Update) *peerpb.Document {
	d := &peerpb.Document{
		Revision: uint64(u.Position.Revision), Era: uint64(u.Position.Era), Body: u.Body,
		Mac: u.MAC.Sum, KeyId: string(u.MAC.Key), Base: uint64(u.Base.Revision), BaseEra: uint64(u.Base.Era),
	}
	if !u.Base.IsZero() {
		d.Body = u.Delta.Middle
		d.Prefix = uint32(u.Delta.Prefix)
		d.Suffix = uint32(u.Delta.Suffix)
	}
	return d
}

func updateFromWire(d *peerpb.Document) configsync.Update {
	u := configsync.Update{
		Position: positionFromWire(d.GetEra(), d.GetRevision()), Base: positionFromWire(d.GetBaseEra(), d.GetBase()),
		MAC: keys.MAC{Key: keys.ID(d.GetKeyId()), Sum: d.GetMac()},
	}
	if u.Base.IsZero() {
		u.Body = d.GetBody()
		return u
	}
	u.Delta = configsync.Delta{Prefix: int(d.GetPrefix()), Suffix: int(d.GetSuffix()), Middle: d.GetBody()}
	return u
}

func historyToWire(s *configsync.SignedHistory) *peerpb.StoreHistory {
	if s == nil {
		return nil
	}
	return &peerpb.StoreHistory{Body: s.Body, Mac: s.MAC.Sum, KeyId: string(s.MAC.Key)}
}

func historyFromWire(p *peerpb.StoreHistory) *configsync.SignedHistory {
	if p == nil {
		return nil
	}
	return &configsync.SignedHistory{Body: p.GetBody(), MAC: keys.MAC{Key: keys.ID(p.GetKeyId()), Sum: p.GetMac()}}
}

func suspectsToWire(list []crashblame.Blame) []*peerpb.Suspect {
	var out []*peerpb.Suspect
	for _, b := range list {
		out = append(out, &peerpb.Suspect{
			Fingerprint: uint64(b.Fingerprint), Share: b.Share, Crash: uint64(b.Crash), AgeMs: uint64(b.Age.Milliseconds()), IdleMs: uint64(b.Idle.Milliseconds()), Trial: b.IsTrial,
		})
	}
	return out
}

func suspectsFromWire(list []*peerpb.Suspect) []crashblame.Blame {
	var out []crashblame.Blame
	for _, p := range list {
		out = append(out, crashblame.Blame{
			Fingerprint: fleet.Fingerprint(p.GetFingerprint()), Crash: crashblame.CrashID(p.GetCrash()), Share: p.GetShare(),
			Age: millis(p.GetAgeMs()), Idle: millis(p.GetIdleMs()), IsTrial: p.GetTrial(),
		})
	}
	return out
}

func fleetToWire(f Fleet) *peerpb.FleetReply {
	out := &peerpb.FleetReply{
		Entry: string(f.Entry), Revision: uint64(f.Position.Revision), Era: uint64(f.Position.Era),
		Refused: f.Refused, RefusedRevision: uint64(f.RefusedPosition.Revision), RefusedEra: uint64(f.RefusedPosition.Era),
		WithheldRevision: uint64(f.Withheld.Revision), WithheldEra: uint64(f.Withheld.Era),
	}
	for _, m := range f.Members {
		out.Members = append(out.Members, &peerpb.FleetMember{Report: reportToWire(m.Report), AgeMs: m.Age.Milliseconds()})
	}
	for _, e := range f.Entries {
		out.Entries = append(out.Entries, &peerpb.EntryState{
			Instance: string(e.Instance), Address: e.Address, Revision: uint64(e.Position.Revision), Era: uint64(e.Position.Era),
			AgeMs: e.Age.Milliseconds(), Problem: e.Problem,
		})
	}
	return out
}

func fleetFromWire(p *peerpb.FleetReply) Fleet {
	f := Fleet{
		Entry: fleet.InstanceID(p.GetEntry()), Position: positionFromWire(p.GetEra(), p.GetRevision()),
		Refused: p.GetRefused(), RefusedPosition: positionFromWire(p.GetRefusedEra(), p.GetRefusedRevision()),
		Withheld: positionFromWire(p.GetWithheldEra(), p.GetWithheldRevision()),
	}
	for _, m := range p.GetMembers() {
		f.Members = append(f.Members, FleetMember{
			Report: reportFromWire(m.GetReport()), Age: nonNegativeMillis(m.GetAgeMs()),
		})
	}
	for _, e := range p.GetEntries() {
		f.Entries = append(f.Entries, EntryState{
			Instance: fleet.InstanceID(e.GetInstance()), Address: e.GetAddress(), Position: positionFromWire(e.GetEra(), e.GetRevision()),
			Age: nonNegativeMillis(e.GetAgeMs()), Problem: e.GetProblem(),
		})
	}
	return f
}

func chunksHeldToWire(h ChunksHeld) *peerpb.ChunksHeld {
	out := &peerpb.ChunksHeld{Bitmap: h.Bitmap, Gone: h.Removed}
	for _, c := range h.Added {
		out.Added = append(out.Added, uint32(c))
	}
	return out
}

func chunksHeldFromWire(p *peerpb.ChunksHeld) ChunksHeld {
	h := ChunksHeld{Removed: p.GetGone()}
	if len(p.GetBitmap()) > 0 {
		h.Bitmap = swarm.Bitmap(p.GetBitmap())
	}
	for _, c := range p.GetAdded() {
		h.Added = append(h.Added, int(c))
	}
	return h
}

// nilIfEmpty returns nil for an empty slice, because the wire format does not
// distinguish between nil and empty.
func nilIfEmpty(b []byte) []byte {
	if len(b) == 0 {
		return nil
	}
	return b
}

// nonNegativeMillis converts a number of milliseconds. A negative one becomes 0, and one that no
// Duration can hold becomes the longest.
func nonNegativeMillis(ms int64) time.Duration { return millis(uint64(max(0, ms))) }

func unixMillis(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

func fromUnixMillis(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms)
}
