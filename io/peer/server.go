package peer

import (
	"context"
	"errors"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"amaranthturn/core/configsync"
	"amaranthturn/core/fleet"
	"amaranthturn/core/membership"
	"amaranthturn/io/peer/peerpb"
)

// Session is the entry's side of an agent's heartbeat stream.
type Session interface {
	// RecordHeartbeat records a heartbeat.
	RecordHeartbeat(r membership.Report)
	// Notices returns the channel of notices to the agent. The entry closes it to end
	// the session.
	Notices() <-chan Notice
	// Close is called after the stream has ended.
	Close()
}

// EntryHandler handles the calls to an entry.
type EntryHandler interface {
	Attach(first membership.Report) (Session, error)
	Sync(m SyncMessage) SyncMessage
	Document(have fleet.Position, full bool) (configsync.Update, bool)
	Fleet(ctx context.Context, forward bool) Fleet
	Relay(ctx context.Context, r GenerateRequest, send func(GenerateEvent) error) error
}

// AgentHandler handles the calls to an agent.
type AgentHandler interface {
	Generate(ctx context.Context, r GenerateRequest, send func(GenerateEvent) error) error
	Call(ctx context.Context, c Call) Reply
	RunOrder(ctx context.Context, ticket string, c Call) (fleet.Outcome, Reply)
	StopOrder(ctx context.Context, ticket string) (fleet.Outcome, Reply)
	ChunkHandler
}

// ChunkHandler serves weights to other agents.
type ChunkHandler interface {
	WatchChunks(ctx context.Context, v fleet.Version, send func(ChunksHeld) error) error
	// Chunk calls send with each part of a chunk. send blocks until the connection
	// accepts the part.
	Chunk(ctx context.Context, c ChunkRef, send func([]byte) error) error
	Manifest(v fleet.Version) ([]byte, bool)
}

// RegisterEntry registers h on s.
func RegisterEntry(s *grpc.Server, h EntryHandler) {
	peerpb.RegisterEntryServer(s, &entryServer{h: h})
}

// RegisterAgent registers h on s.
func RegisterAgent(s *grpc.Server, h AgentHandler) {
	peerpb.RegisterAgentServer(s, &agentServer{chunkServer: chunkServer{chunks: h}, h: h})
}

// RegisterChunks registers h on s for an agent that serves only weights and forwards no
// requests.
func RegisterChunks(s *grpc.Server, h ChunkHandler) {
	peerpb.RegisterAgentServer(s, &chunkServer{chunks: h})
}

type entryServer struct {
	peerpb.UnimplementedEntryServer
	h EntryHandler
}

// Attach implements peerpb.EntryServer. It receives heartbeats and sends notices.
func (s *entryServer) Attach(st grpc.BidiStreamingServer[peerpb.AgentReport, peerpb.AgentNotice]) error {
	first, err := st.Recv()
	if err != nil {
		return err
	}
	last := reportFromWire(first)
	session, err := s.h.Attach(last)
	if err != nil {
		return status.Error(codes.FailedPrecondition, err.Error())
	}
	w := &noticeWriter{stream: st, notices: session.Notices()}
	go w.run()
	defer session.Close()
	for {
		p, err := st.Recv()
		if err != nil {
			return err
		}
		if p.GetSame() {
			last = applyBrief(last, p)
		} else {
			last = reportFromWire(p)
		}
		session.RecordHeartbeat(last)
	}
}

type noticeWriter struct {
	stream  grpc.BidiStreamingServer[peerpb.AgentReport, peerpb.AgentNotice]
	notices <-chan Notice
}

// run sends notices until the session or the stream ends.
func (w *noticeWriter) run() {
	for {
		select {
		case <-w.stream.Context().Done():
			return
		case n, ok := <-w.notices:
			if !ok || w.stream.Send(noticeToWire(n)) != nil {
				return
			}
		}
	}
}

// Sync implements peerpb.EntryServer.
func (s *entryServer) Sync(_ context.Context, p *peerpb.SyncRequest) (*peerpb.SyncReply, error) {
	r := s.h.Sync(syncFromWire(p))
	out := &peerpb.SyncReply{
		Revision: uint64(r.Position.Revision), Era: uint64(r.Position.Era),
		HistorySum: r.HistorySum, History: historyToWire(r.History),
		PlatformAgeMs: r.PlatformAge.Milliseconds(), Suspects: suspectsToWire(r.Blamed),
	}
	if r.Update != nil {
		out.Document = updateToWire(*r.Update)
	}
	return out, nil
}

// FetchDocument implements peerpb.EntryServer.
func (s *entryServer) FetchDocument(_ context.Context, p *peerpb.FetchDocumentRequest) (*peerpb.Document, error) {
	u, ok := s.h.Document(positionFromWire(p.GetHaveEra(), p.GetHaveRevision()), p.GetWhole())
	if !ok {
		return nil, status.Error(codes.NotFound, "nothing newer")
	}
	return updateToWire(u), nil
}

// Fleet implements peerpb.EntryServer.
func (s *entryServer) Fleet(ctx context.Context, p *peerpb.FleetRequest) (*peerpb.FleetReply, error) {
	return fleetToWire(s.h.Fleet(ctx, p.GetForward())), nil
}

// Relay implements peerpb.EntryServer.
func (s *entryServer) Relay(p *peerpb.GenerateRequest, st grpc.ServerStreamingServer[peerpb.GenerateEvent]) error {
	return s.h.Relay(st.Context(), generateFromWire(p), eventSender(st))
}

// chunkServer implements only the calls that transfer weights.
type chunkServer struct {
	peerpb.UnimplementedAgentServer
	chunks ChunkHandler
}

type agentServer struct {
	chunkServer
	h AgentHandler
}

// Generate implements peerpb.AgentServer.
func (s *agentServer) Generate(p *peerpb.GenerateRequest, st grpc.ServerStreamingServer[peerpb.GenerateEvent]) error {
	return s.h.Generate(st.Context(), generateFromWire(p), eventSender(st))
}

func eventSender(st grpc.ServerStreamingServer[peerpb.GenerateEvent]) func(GenerateEvent) error {
	return func(e GenerateEvent) error { return st.Send(eventToWire(e)) }
}

// Call implements peerpb.AgentServer.
func (s *agentServer) Call(ctx context.Context, p *peerpb.CallRequest) (*peerpb.CallReply, error) {
	return replyToWire(s.h.Call(ctx, callFromWire(p))), nil
}

// RunOrder implements peerpb.AgentServer.
func (s *agentServer) RunOrder(ctx context.Context, p *peerpb.OrderRequest) (*peerpb.OrderReply, error) {
	return orderToWire(s.h.RunOrder(ctx, p.GetTicket(), callFromWire(p.GetCall()))), nil
}

// StopOrder implements peerpb.AgentServer.
func (s *agentServer) StopOrder(ctx context.Context, p *peerpb.StopOrderRequest) (*peerpb.OrderReply, error) {
	return orderToWire(s.h.StopOrder(ctx, p.GetTicket())), nil
}

func orderToWire(o fleet.Outcome, r Reply) *peerpb.OrderReply {
	return &peerpb.OrderReply{Outcome: int32(o), Reply: replyToWire(r)}
}

// WatchChunks implements peerpb.AgentServer.
func (s *chunkServer) WatchChunks(p *peerpb.WatchChunksRequest, st grpc.ServerStreamingServer[peerpb.ChunksHeld]) error {
	return s.chunks.WatchChunks(st.Context(), fleet.Version(p.GetVersion()), func(h ChunksHeld) error {
		return st.Send(chunksHeldToWire(h))
	})
}

// PartBytes is the maximum size of one part of a chunk.
const PartBytes = 64 << 10

// FetchChunk implements peerpb.AgentServer.
func (s *chunkServer) FetchChunk(p *peerpb.FetchChunkRequest, st grpc.ServerStreamingServer[peerpb.ChunkPart]) error {
	err := s.chunks.Chunk(st.Context(), ChunkRef{
		Version: fleet.Version(p.GetVersion()), Index: int(p.GetIndex()),
		Digest: fleet.Digest(p.GetDigest()), Requester: fleet.InstanceID(p.GetInstance()),
	}, func(part []byte) error { return st.Send(&peerpb.ChunkPart{Data: part}) })
	switch {
	case errors.Is(err, ErrBusy):
		return st.Send(&peerpb.ChunkPart{Busy: true})
	case errors.Is(err, ErrMissing):
		return status.Error(codes.NotFound, err.Error())
	}
	return err
}

// FetchManifest implements peerpb.AgentServer.
func (s *chunkServer) FetchManifest(_ context.Context, p *peerpb.FetchManifestRequest) (*peerpb.ManifestReply, error) {
	body, ok := s.chunks.Manifest(fleet.Version(p.GetVersion()))
	if !ok {
		return nil, status.Error(codes.NotFound, "manifest is not held")
	}
	return &peerpb.ManifestReply{Body: body}, nil
}
