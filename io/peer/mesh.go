package peer

import (
	"context"
	"time"

	"google.golang.org/grpc"

	"amaranthturn/core/crashblame"
	"amaranthturn/core/fleet"
	"amaranthturn/core/gossip"
	"amaranthturn/core/mirror"
	"amaranthturn/io/peer/peerpb"
)

// EntryNews is one message of an exchange between entries.
type EntryNews struct {
	Rows   []gossip.Record
	Blamed []crashblame.Blame
	// At is the store's revision that the sender knows of.
	At mirror.Revision
}

// StoreNews is what another daemon knows of the platform's store.
type StoreNews struct {
	Events []mirror.Event
	At     mirror.Revision
	Age    time.Duration // since the store was known to be at that revision
	Lost   bool          // the sender does not reach the store
}

// TargetLoad is what the process beside a target says of it.
type TargetLoad struct {
	Born                  fleet.Incarnation
	Running, Queued       int
	CacheUsed, CacheTotal int
	Model                 fleet.Model
	Version               uint64 // that serves, 0 for none
	Accepting             bool
	Pace                  float64 // above 1 the target is slow
}

// MeshHandler does the work of an entry towards other daemons.
type MeshHandler interface {
	Exchange(n EntryNews) EntryNews
	// Follow calls send with what is known of the store after a revision, and again
	// whenever more is or beat has passed, until ctx ends.
	Follow(ctx context.Context, after mirror.Revision, beat time.Duration, send func(StoreNews) error) error
}

// BesideHandler does the work of the process beside a target.
type BesideHandler interface {
	WatchLoad(ctx context.Context, period time.Duration, send func(TargetLoad) error) error
}

// RegisterMesh serves h on s.
func RegisterMesh(s *grpc.Server, h MeshHandler) { peerpb.RegisterMeshServer(s, &meshServer{h: h}) }

// RegisterBeside serves h on s.
func RegisterBeside(s *grpc.Server, h BesideHandler) {
	peerpb.RegisterBesideServer(s, &besideServer{h: h})
}

type meshServer struct {
	peerpb.UnimplementedMeshServer
	h    MeshHandler
	pack packer
}

// Exchange implements peerpb.MeshServer.
func (s *meshServer) Exchange(_ context.Context, p *peerpb.EntryRows) (*peerpb.EntryRows, error) {
	return newsToWire(s.h.Exchange(newsFromWire(p))), nil
}

// Follow implements peerpb.MeshServer.
func (s *meshServer) Follow(p *peerpb.FollowRequest, st grpc.ServerStreamingServer[peerpb.StoreChanges]) error {
	return s.h.Follow(st.Context(), mirror.Revision(p.GetAfter()), time.Duration(p.GetBeatMs())*time.Millisecond, func(n StoreNews) error {
		out := &peerpb.StoreChanges{At: uint64(n.At), AgeMs: uint64(n.Age.Milliseconds()), Lost: n.Lost}
		for _, e := range n.Events {
			w := &peerpb.StoreEvent{Key: e.Key, Revision: uint64(e.Revision), Deleted: e.Deleted}
			w.Value, w.Packed = s.pack.value(e)
			out.Events = append(out.Events, w)
		}
		return st.Send(out)
	})
}

type besideServer struct {
	peerpb.UnimplementedBesideServer
	h BesideHandler
}

// WatchLoad implements peerpb.BesideServer.
func (s *besideServer) WatchLoad(p *peerpb.WatchLoadRequest, st grpc.ServerStreamingServer[peerpb.TargetLoad]) error {
	period := time.Duration(p.GetPeriodMs()) * time.Millisecond
	return s.h.WatchLoad(st.Context(), period, func(l TargetLoad) error {
		return st.Send(&peerpb.TargetLoad{
			Born: uint64(l.Born), Running: uint32(l.Running), Queued: uint32(l.Queued),
			CacheUsed: uint64(l.CacheUsed), CacheTotal: uint64(l.CacheTotal),
			Model: string(l.Model), Version: l.Version, Accepting: l.Accepting, Pace: l.Pace,
		})
	})
}

func newsToWire(n EntryNews) *peerpb.EntryRows {
	out := &peerpb.EntryRows{StoreRevision: uint64(n.At)}
	for _, r := range n.Rows {
		out.Rows = append(out.Rows, &peerpb.EntryRow{
			Instance: string(r.Instance), Incarnation: uint64(r.Incarnation), Sequence: r.Sequence, Region: string(r.Region),
			AvailabilityZone: string(r.Zone), PeerAddress: r.Address, CallerAddress: r.CallerAddress, Leaving: r.Leaving,
		})
	}
	for _, b := range n.Blamed {
		out.Blamed = append(out.Blamed, &peerpb.BlamedRequest{Fingerprint: uint64(b.Fingerprint), Blame: b.Value})
	}
	return out
}

func newsFromWire(p *peerpb.EntryRows) EntryNews {
	n := EntryNews{At: mirror.Revision(p.GetStoreRevision())}
	for _, r := range p.GetRows() {
		n.Rows = append(n.Rows, gossip.Record{
			Instance: fleet.InstanceID(r.GetInstance()), Incarnation: fleet.Incarnation(r.GetIncarnation()), Sequence: r.GetSequence(),
			Region: fleet.Region(r.GetRegion()), Zone: fleet.Zone(r.GetAvailabilityZone()),
			Address: r.GetPeerAddress(), CallerAddress: r.GetCallerAddress(), Leaving: r.GetLeaving(),
		})
	}
	for _, b := range p.GetBlamed() {
		n.Blamed = append(n.Blamed, crashblame.Blame{Fingerprint: fleet.Fingerprint(b.GetFingerprint()), Value: b.GetBlame()})
	}
	return n
}

// exchangeTimeout bounds one exchange; the next is made with another entry.
const exchangeTimeout = 800 * time.Millisecond

// Exchange tells the entry at addr of entries and returns those it knows.
func (p *Pool) Exchange(ctx context.Context, addr string, n EntryNews) (EntryNews, error) {
	c, err := p.conn(addr)
	if err != nil {
		return EntryNews{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	r, err := peerpb.NewMeshClient(c).Exchange(ctx, newsToWire(n))
	if err != nil {
		return EntryNews{}, lost(addr, err)
	}
	return newsFromWire(r), nil
}

// Follow calls each for every message of the entry at addr about the store, until it
// returns false, the stream ends, or nothing came for the time of silence. A message comes
// in each beat at least.
func (p *Pool) Follow(ctx context.Context, addr string, after mirror.Revision, beat, silence time.Duration, each func(StoreNews) bool) error {
	c, err := p.conn(addr)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silent := time.AfterFunc(silence, cancel)
	defer silent.Stop()
	st, err := peerpb.NewMeshClient(c).Follow(ctx, &peerpb.FollowRequest{After: uint64(after), BeatMs: uint32(beat.Milliseconds())})
	if err != nil {
		return lost(addr, err)
	}
	for {
		m, err := st.Recv()
		if err != nil {
			return lost(addr, err)
		}
		n := StoreNews{At: mirror.Revision(m.GetAt()), Age: time.Duration(m.GetAgeMs()) * time.Millisecond, Lost: m.GetLost()}
		for _, e := range m.GetEvents() {
			value := e.GetValue()
			if e.GetPacked() {
				if value, err = unpack(value); err != nil {
					return lost(addr, err)
				}
			}
			n.Events = append(n.Events, mirror.Event{Key: e.GetKey(), Value: value, Revision: mirror.Revision(e.GetRevision()), Deleted: e.GetDeleted()})
		}
		silent.Reset(silence)
		if !each(n) {
			return nil
		}
	}
}

// WatchLoad calls each for every message about the target beside the process at addr.
func (p *Pool) WatchLoad(ctx context.Context, addr string, period time.Duration, each func(TargetLoad)) error {
	c, err := p.conn(addr)
	if err != nil {
		return err
	}
	st, err := peerpb.NewBesideClient(c).WatchLoad(ctx, &peerpb.WatchLoadRequest{PeriodMs: uint32(period.Milliseconds())})
	if err != nil {
		return lost(addr, err)
	}
	for {
		m, err := st.Recv()
		if err != nil {
			return lost(addr, err)
		}
		each(TargetLoad{
			Born: fleet.Incarnation(m.GetBorn()), Running: int(m.GetRunning()), Queued: int(m.GetQueued()),
			CacheUsed: int(m.GetCacheUsed()), CacheTotal: int(m.GetCacheTotal()),
			Model: fleet.Model(m.GetModel()), Version: m.GetVersion(), Accepting: m.GetAccepting(), Pace: m.GetPace(),
		})
	}
}
