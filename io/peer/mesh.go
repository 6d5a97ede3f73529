package peer

import (
	"context"
	"math"
	"time"

	"google.golang.org/grpc"

	"amaranthturn/core/crashblame"
	"amaranthturn/core/fleet"
	"amaranthturn/core/gossip"
	"amaranthturn/core/mirror"
	"amaranthturn/core/notice"
	"amaranthturn/core/ratelimit"
	"amaranthturn/core/roster"
	"amaranthturn/core/upgrade"
	"amaranthturn/io/peer/peerpb"
)

// ExchangeMessage is one message of an exchange between entries.
type ExchangeMessage struct {
	Records []gossip.Record
	// Blamed are the crashes for which requests are blamed, or have been cleared.
	Blamed []crashblame.Blame
	// StorePosition is the latest position of the store that the sender knows.
	StorePosition mirror.Position
	// ConfigVersion is the version of the configuration in force at the sender.
	ConfigVersion uint64
	// MaxEntries is the most entries that the sender knows to have been live at once, at most
	// MaxStatedEntries.
	MaxEntries int
	// Retained are states from before a restoration of the store that are still in force.
	Retained []mirror.Event
	// Leaving are the targets that state that they leave.
	Leaving []notice.Target
	// Declared holds the declared versions of weights that the sender knows.
	Declared map[fleet.Model][]upgrade.Age
	// Crashes and ProvenParts are the crashes before the first event of a response, and those
	// parts of their prompts that are known to be sound.
	Crashes     []crashblame.Report
	ProvenParts []crashblame.Proof
	// Reads is when the store answered the sender and other entries.
	Reads []roster.ReadReport
	// Limits are the limits that targets state for all entries together.
	Limits []ratelimit.Limit
}

// MaxStatedEntries limits the number of entries that a message can state.
const MaxStatedEntries = 4096

// StoreChanges is a set of changes of the platform's store, sent by another daemon.
type StoreChanges struct {
	mirror.Update
	// Retained are states from before a restoration of the store that are still in force.
	Retained         []mirror.Event
	Age              time.Duration // time since the sender's copy was known to be current
	StoreUnavailable bool          // reports that the store is unavailable to the sender
	// WasMissed reports that the sender may not have been waiting for some of the changes when they were
	// written.
	WasMissed bool
	// Reads is when the store answered the sender and other entries.
	Reads []roster.ReadReport
}

// TargetLoad is the load of a target as reported by its agent.
type TargetLoad struct {
	Incarnation           fleet.Incarnation
	Running, Queued       int
	CacheUsed, CacheTotal int
	Model                 fleet.Model
	Version               uint64 // version in service, 0 for none
	Loadable              uint64 // newest version that the agent holds, or is about to hold in time to load it, 0 for none
	Accepting             bool
	Leaving               bool    // the target states that it leaves
	Pace                  float64 // a value above 1 means that the target is slow
}

// ZoneLoad is the load of the target at an address, as an entry of its zone knows it.
type ZoneLoad struct {
	Address string
	Load    TargetLoad
	Age     time.Duration // of the load
	Peak    int           // most requests that ran or were queued in the last reports
	Unknown bool          // the target's agent doesn't report any more
}

// MeshHandler handles the calls of other daemons to an entry.
type MeshHandler interface {
	Exchange(m ExchangeMessage) ExchangeMessage
	// Follow calls send with the known changes of the store after a position. It calls
	// send again for new changes, or after maxInterval without any, until ctx ends.
	Follow(ctx context.Context, after mirror.Position, maxInterval time.Duration, send func(StoreChanges) error) error
	// WatchZone calls send with the loads of the targets in the entry's zone, first with all of
	// them and then with those that were reported since, until ctx ends. It calls send at once when
	// the state of a target has changed, and else after period.
	WatchZone(ctx context.Context, period time.Duration, send func([]ZoneLoad) error) error
}

// LoadHandler handles the calls for the load of an agent's target.
type LoadHandler interface {
	WatchLoad(ctx context.Context, period time.Duration, send func(TargetLoad) error) error
}

// RegisterMesh registers h on s.
func RegisterMesh(s *grpc.Server, h MeshHandler) { peerpb.RegisterMeshServer(s, &meshServer{h: h}) }

// RegisterLoad registers h on s.
func RegisterLoad(s *grpc.Server, h LoadHandler) {
	peerpb.RegisterBesideServer(s, &loadServer{h: h})
}

type meshServer struct {
	peerpb.UnimplementedMeshServer
	h      MeshHandler
	values valueCompressor
}

// Exchange implements peerpb.MeshServer.
func (s *meshServer) Exchange(_ context.Context, p *peerpb.EntryRows) (*peerpb.EntryRows, error) {
	m, err := exchangeFromWire(p)
	if err != nil {
		return nil, err
	}
	return exchangeToWire(s.h.Exchange(m), &s.values), nil
}

// Follow implements peerpb.MeshServer.
func (s *meshServer) Follow(p *peerpb.FollowRequest, st grpc.ServerStreamingServer[peerpb.StoreChanges]) error {
	after := mirror.Position{Era: mirror.Era(p.GetEra()), Revision: mirror.Revision(p.GetAfter())}
	return s.h.Follow(st.Context(), after, time.Duration(p.GetBeatMs())*time.Millisecond, func(changes StoreChanges) error {
		if !p.GetReads() {
			changes.Reads = nil
		}
		return st.Send(changesToWire(changes, &s.values))
	})
}

type loadServer struct {
	peerpb.UnimplementedBesideServer
	h LoadHandler
}

// WatchZone implements peerpb.MeshServer.
func (s *meshServer) WatchZone(p *peerpb.WatchZoneRequest, st grpc.ServerStreamingServer[peerpb.ZoneLoads]) error {
	return s.h.WatchZone(st.Context(), millis(uint64(p.GetPeriodMs())), func(loads []ZoneLoad) error {
		out := &peerpb.ZoneLoads{}
		for _, l := range loads {
			w := &peerpb.ZoneLoad{Address: l.Address, AgeMs: uint32(l.Age.Milliseconds()), Peak: uint32(l.Peak)}
			if !l.Unknown {
				w.Load = targetLoadToWire(l.Load)
			}
			out.Loads = append(out.Loads, w)
		}
		return st.Send(out)
	})
}

// WatchLoad implements peerpb.BesideServer.
func (s *loadServer) WatchLoad(p *peerpb.WatchLoadRequest, st grpc.ServerStreamingServer[peerpb.TargetLoad]) error {
	return s.h.WatchLoad(st.Context(), millis(uint64(p.GetPeriodMs())), func(l TargetLoad) error {
		return st.Send(targetLoadToWire(l))
	})
}

func targetLoadToWire(l TargetLoad) *peerpb.TargetLoad {
	return &peerpb.TargetLoad{
		Born: uint64(l.Incarnation), Running: uint32(l.Running), Queued: uint32(l.Queued),
		CacheUsed: uint64(l.CacheUsed), CacheTotal: uint64(l.CacheTotal),
		Model: string(l.Model), Version: l.Version, Loadable: l.Loadable, Accepting: l.Accepting, Leaving: l.Leaving, Pace: l.Pace,
	}
}

func targetLoadFromWire(m *peerpb.TargetLoad) TargetLoad {
	return TargetLoad{
		Incarnation: fleet.Incarnation(m.GetBorn()), Running: int(m.GetRunning()), Queued: int(m.GetQueued()),
		CacheUsed: int(m.GetCacheUsed()), CacheTotal: int(m.GetCacheTotal()),
		Model: fleet.Model(m.GetModel()), Version: m.GetVersion(), Loadable: m.GetLoadable(), Accepting: m.GetAccepting(), Leaving: m.GetLeaving(), Pace: m.GetPace(),
	}
}

func exchangeToWire(m ExchangeMessage, values *valueCompressor) *peerpb.EntryRows {
	out := &peerpb.EntryRows{
		StoreEra: uint64(m.StorePosition.Era), StoreRevision: uint64(m.StorePosition.Revision),
		ConfigVersion: m.ConfigVersion, Retained: values.eventsToWire(m.Retained), MaxEntries: uint32(m.MaxEntries), Reads: readsToWire(m.Reads), Suspects: suspectsToWire(m.Blamed),
	}
	for _, r := range m.Records {
		out.Rows = append(out.Rows, &peerpb.EntryRow{
			Instance: string(r.Instance), Incarnation: uint64(r.Incarnation), Sequence: r.Sequence, Region: string(r.Region),
			AvailabilityZone: string(r.Zone), PeerAddress: r.Address, CallerAddress: r.CallerAddress, Leaving: r.Leaving, AgeMs: uint64(r.Age.Milliseconds()), IdleServices: stringsOf(r.Idle),
		})
	}
	for m, ages := range m.Declared {
		for _, a := range ages {
			out.Declared = append(out.Declared, &peerpb.DeclaredVersion{Model: string(m), Version: a.Version, KnownMs: uint64(a.Known.Milliseconds())})
		}
	}
	for _, t := range m.Leaving {
		out.Leaving = append(out.Leaving, &peerpb.LeavingTarget{Target: string(t.ID), Born: uint64(t.Incarnation)})
	}
	for _, l := range m.Limits {
		out.Limits = append(out.Limits, &peerpb.TargetLimit{Target: string(l.ID), Born: uint64(l.Incarnation), Revision: l.Revision, Ended: !l.IsInForce, Rate: float64(l.Rate)})
	}
	for _, r := range m.Crashes {
		w := &peerpb.CrashReport{Id: uint64(r.ID), AgeMs: uint64(r.Age.Milliseconds())}
		for _, part := range r.Parts {
			w.Parts = append(w.Parts, uint64(part))
		}
		out.Crashes = append(out.Crashes, w)
	}
	for _, part := range m.ProvenParts {
		out.ProvenParts = append(out.ProvenParts, &peerpb.ProvenPart{Part: uint64(part.Part), AgeMs: uint64(part.Age.Milliseconds())})
	}
	return out
}

func exchangeFromWire(p *peerpb.EntryRows) (ExchangeMessage, error) {
	m := ExchangeMessage{
		StorePosition: mirror.Position{Era: mirror.Era(p.GetStoreEra()), Revision: mirror.Revision(p.GetStoreRevision())},
		ConfigVersion: p.GetConfigVersion(), MaxEntries: int(min(p.GetMaxEntries(), MaxStatedEntries)), Reads: readsFromWire(p.GetReads()), Blamed: suspectsFromWire(p.GetSuspects()),
	}
	for _, t := range p.GetLeaving() {
		m.Leaving = append(m.Leaving, notice.Target{ID: fleet.InstanceID(t.GetTarget()), Incarnation: fleet.Incarnation(t.GetBorn())})
	}
	for _, l := range p.GetLimits() {
		m.Limits = append(m.Limits, ratelimit.Limit{
			Target:   notice.Target{ID: fleet.InstanceID(l.GetTarget()), Incarnation: fleet.Incarnation(l.GetBorn())},
			Revision: l.GetRevision(), IsInForce: !l.GetEnded(), Rate: ratelimit.Rate(l.GetRate()),
		})
	}
	var values valueDecompressor
	var err error
	if m.Retained, err = values.eventsFromWire(p.GetRetained()); err != nil {
		return m, err
	}
	for _, r := range p.GetRows() {
		m.Records = append(m.Records, gossip.Record{
			Instance: fleet.InstanceID(r.GetInstance()), Incarnation: fleet.Incarnation(r.GetIncarnation()), Sequence: r.GetSequence(),
			Region: fleet.Region(r.GetRegion()), Zone: fleet.Zone(r.GetAvailabilityZone()),
			Address: r.GetPeerAddress(), CallerAddress: r.GetCallerAddress(), Leaving: r.GetLeaving(), Age: millis(r.GetAgeMs()),
			Idle: servicesOf(r.GetIdleServices()),
		})
	}
	m.Declared = map[fleet.Model][]upgrade.Age{}
	for _, d := range p.GetDeclared() {
		model := fleet.Model(d.GetModel())
		m.Declared[model] = append(m.Declared[model], upgrade.Age{Version: d.GetVersion(), Known: millis(d.GetKnownMs())})
	}
	for _, w := range p.GetCrashes() {
		r := crashblame.Report{ID: crashblame.ReportID(w.GetId()), Age: millis(w.GetAgeMs())}
		for _, part := range w.GetParts() {
			r.Parts = append(r.Parts, fleet.Fingerprint(part))
		}
		m.Crashes = append(m.Crashes, r)
	}
	for _, part := range p.GetProvenParts() {
		m.ProvenParts = append(m.ProvenParts, crashblame.Proof{Part: fleet.Fingerprint(part.GetPart()), Age: millis(part.GetAgeMs())})
	}
	return m, nil
}

// millis converts a number of milliseconds; one that no Duration can hold becomes the longest.
func millis(n uint64) time.Duration {
	if n > uint64(math.MaxInt64/time.Millisecond) {
		return math.MaxInt64
	}
	return time.Duration(n) * time.Millisecond
}

// exchangeTimeout limits one exchange. The next exchange uses another entry.
const exchangeTimeout = 800 * time.Millisecond

// Exchange sends the known entries to the entry at addr and returns the entries that it
// knows.
func (p *Pool) Exchange(ctx context.Context, addr string, m ExchangeMessage) (ExchangeMessage, error) {
	c, err := p.conn(addr)
	if err != nil {
		return ExchangeMessage{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	r, err := peerpb.NewMeshClient(c).Exchange(ctx, exchangeToWire(m, &p.values))
	if err != nil {
		return ExchangeMessage{}, wrapError(addr, err)
	}
	reply, err := exchangeFromWire(r)
	if err != nil {
		return ExchangeMessage{}, wrapError(addr, err)
	}
	return reply, nil
}

// Follow calls onChanges for every message about the store from the entry at addr. It
// returns when onChanges returns false, when the stream ends, or when no message arrives
// for idleTimeout. The entry sends at least one message per maxInterval.
func (p *Pool) Follow(ctx context.Context, addr string, after mirror.Position, maxInterval, idleTimeout time.Duration, onChanges func(StoreChanges) bool) error {
	return p.follow(ctx, addr, followRequest(after, maxInterval), idleTimeout, onChanges)
}

// FollowWithReads is Follow for an entry, which is also told when entries have read the store.
func (p *Pool) FollowWithReads(ctx context.Context, addr string, after mirror.Position, maxInterval, idleTimeout time.Duration, onChanges func(StoreChanges) bool) error {
	req := followRequest(after, maxInterval)
	req.Reads = true
	return p.follow(ctx, addr, req, idleTimeout, onChanges)
}

func followRequest(after mirror.Position, maxInterval time.Duration) *peerpb.FollowRequest {
	return &peerpb.FollowRequest{Era: uint64(after.Era), After: uint64(after.Revision), BeatMs: uint32(maxInterval.Milliseconds())}
}

func (p *Pool) follow(ctx context.Context, addr string, req *peerpb.FollowRequest, idleTimeout time.Duration, onChanges func(StoreChanges) bool) error {
	c, err := p.conn(addr)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	idleTimer := time.AfterFunc(idleTimeout, cancel)
	defer idleTimer.Stop()
	st, err := peerpb.NewMeshClient(c).Follow(ctx, req)
	if err != nil {
		return wrapError(addr, err)
	}
	for {
		m, err := st.Recv()
		if err != nil {
			return wrapError(addr, err)
		}
		changes, err := changesFromWire(m)
		if err != nil {
			return wrapError(addr, err)
		}
		idleTimer.Reset(idleTimeout)
		if !onChanges(changes) {
			return nil
		}
	}
}

func changesToWire(c StoreChanges, values *valueCompressor) *peerpb.StoreChanges {
	return &peerpb.StoreChanges{
		Events: values.eventsToWire(c.Events), Retained: values.eventsToWire(c.Retained),
		Era: uint64(c.At.Era), At: uint64(c.At.Revision), EraBase: uint64(c.EraBase), Full: c.Full,
		AgeMs: uint64(max(0, c.Age.Milliseconds())), Lost: c.StoreUnavailable, Missed: c.WasMissed, Reads: readsToWire(c.Reads),
	}
}

func changesFromWire(m *peerpb.StoreChanges) (StoreChanges, error) {
	out := StoreChanges{Age: millis(m.GetAgeMs()), StoreUnavailable: m.GetLost(), WasMissed: m.GetMissed(), Reads: readsFromWire(m.GetReads())}
	out.At = mirror.Position{Era: mirror.Era(m.GetEra()), Revision: mirror.Revision(m.GetAt())}
	out.EraBase, out.Full = mirror.Revision(m.GetEraBase()), m.GetFull()
	var values valueDecompressor
	var err error
	if out.Events, err = values.eventsFromWire(m.GetEvents()); err != nil {
		return out, err
	}
	out.Retained, err = values.eventsFromWire(m.GetRetained())
	return out, err
}

// WatchLoad calls onLoad for every load report on the target of the agent at addr. The
// agent sends a report at once when the target serves other weights or stops or resumes
// accepting requests, else once per period. It returns when the stream ends, or when no report
// arrives for idleTimeout. The connection is then closed, because it may be silent for good.
func (p *Pool) WatchLoad(ctx context.Context, addr string, period, idleTimeout time.Duration, onLoad func(TargetLoad)) error {
	c, err := p.conn(addr)
	if err != nil {
		return err
	}
	idleTimer := time.AfterFunc(idleTimeout, func() { p.Release(addr) })
	defer idleTimer.Stop()
	st, err := peerpb.NewBesideClient(c).WatchLoad(ctx, &peerpb.WatchLoadRequest{PeriodMs: uint32(period.Milliseconds())})
	if err != nil {
		return wrapError(addr, err)
	}
	for {
		m, err := st.Recv()
		if err != nil {
			return wrapError(addr, err)
		}
		idleTimer.Reset(idleTimeout)
		onLoad(targetLoadFromWire(m))
	}
}

// WatchZone calls onLoads for every message about the targets in the zone of the entry at addr. It
// returns when the stream ends, or when no message arrives for idleTimeout.
func (p *Pool) WatchZone(ctx context.Context, addr string, period, idleTimeout time.Duration, onLoads func([]ZoneLoad)) error {
	c, err := p.conn(addr)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	idleTimer := time.AfterFunc(idleTimeout, cancel)
	defer idleTimer.Stop()
	st, err := peerpb.NewMeshClient(c).WatchZone(ctx, &peerpb.WatchZoneRequest{PeriodMs: uint32(period.Milliseconds())})
	if err != nil {
		return wrapError(addr, err)
	}
	for {
		m, err := st.Recv()
		if err != nil {
			return wrapError(addr, err)
		}
		idleTimer.Reset(idleTimeout)
		loads := make([]ZoneLoad, 0, len(m.GetLoads()))
		for _, l := range m.GetLoads() {
			loads = append(loads, ZoneLoad{Address: l.GetAddress(), Load: targetLoadFromWire(l.GetLoad()), Age: millis(uint64(l.GetAgeMs())), Peak: int(l.GetPeak()), Unknown: l.GetLoad() == nil})
		}
		onLoads(loads)
	}
}

func stringsOf(services []fleet.Service) []string {
	var out []string
	for _, s := range services {
		out = append(out, string(s))
	}
	return out
}

func servicesOf(names []string) []fleet.Service {
	var out []fleet.Service
	for _, s := range names {
		out = append(out, fleet.Service(s))
	}
	return out
}
