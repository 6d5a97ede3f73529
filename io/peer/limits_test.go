package peer

import (
	"bytes"
	"context"
	"errors"
	"net"
	"strings"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"gotest.tools/v3/assert"

	"amaranthturn/core/mirror"
	"amaranthturn/core/swarm"
	"amaranthturn/io/bounded"
	"amaranthturn/io/peer/peerpb"
)

// inflatingEntry sends one small message whose values inflate.
type inflatingEntry struct {
	peerpb.UnimplementedMeshServer
	values int
	size   int
}

func (e *inflatingEntry) Follow(_ *peerpb.FollowRequest, st grpc.ServerStreamingServer[peerpb.StoreChanges]) error {
	out := &peerpb.StoreChanges{At: 1}
	packed, _ := (&valueCompressor{}).compress(mirror.Event{Value: make([]byte, e.size), Revision: 1})
	for range e.values {
		out.Events = append(out.Events, &peerpb.StoreEvent{Key: "k", Value: packed, Packed: true, Revision: 1})
	}
	return st.Send(out)
}

func serveRPC(t *testing.T, register func(*grpc.Server)) (string, *Pool) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	g := grpc.NewServer(ServerOptions(nil)...)
	register(g)
	go func() { _ = g.Serve(l) }()
	t.Cleanup(g.Stop)
	p := NewPool(DialOptions{})
	t.Cleanup(p.Close)
	return l.Addr().String(), p
}

// A small message may hold one value, or many, that inflate without end.
func TestMessageThatInflatesIsAnError(t *testing.T) {
	for name, e := range map[string]*inflatingEntry{
		"one value":   {values: 1, size: 2 * maxDecompressedBytes},
		"many values": {values: 100, size: maxDecompressedBytes / 8},
	} {
		t.Run(name, func(t *testing.T) {
			addr, p := serveRPC(t, func(g *grpc.Server) { peerpb.RegisterMeshServer(g, e) })
			err := p.Follow(t.Context(), addr, mirror.Position{}, time.Second, 10*time.Second, func(StoreChanges) bool { return false })
			var tooLarge *bounded.TooLargeError
			assert.Assert(t, errors.As(err, &tooLarge), "%v", err)
			assert.Equal(t, tooLarge.Part, bounded.PartMessage)
		})
	}
}

// endlessAgent sends a chunk without end.
type endlessAgent struct {
	peerpb.UnimplementedAgentServer
}

func (endlessAgent) FetchChunk(_ *peerpb.FetchChunkRequest, st grpc.ServerStreamingServer[peerpb.ChunkPart]) error {
	for range 2 * swarm.MaxChunkBytes >> 20 {
		if err := st.Send(&peerpb.ChunkPart{Data: make([]byte, 1<<20)}); err != nil {
			return err
		}
	}
	return nil
}

// A chunk of another agent has the size that its reference states, and no more.
func TestChunkWithoutEndIsAnError(t *testing.T) {
	addr, p := serveRPC(t, func(g *grpc.Server) { peerpb.RegisterAgentServer(g, endlessAgent{}) })
	read := 0
	_, err := p.Chunk(t.Context(), addr, ChunkRef{Version: "v", Size: 1 << 20}, func(n int) { read += n })
	var tooLarge *bounded.TooLargeError
	assert.Assert(t, errors.As(err, &tooLarge), "%v", err)
	assert.Assert(t, read <= 2<<20, "%d bytes", read)
}

// Metadata and messages of a peer are limited in both directions.
func TestMetadataAndMessagesOfPeersAreLimited(t *testing.T) {
	addr, p := startAgent(t, &fakeAgent{chunk: bytes.Repeat([]byte("x"), 8)})
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	long := metadata.AppendToOutgoingContext(ctx, "x-long", strings.Repeat("y", 2*maxHeaderListBytes))
	c, err := p.agent(addr)
	assert.NilError(t, err)
	_, err = c.FetchManifest(long, &peerpb.FetchManifestRequest{Version: "v"})
	assert.Assert(t, err != nil, "metadata above the limit was accepted")
	_, err = c.FetchManifest(ctx, &peerpb.FetchManifestRequest{Version: strings.Repeat("v", maxMessageBytes+1)})
	assert.Equal(t, status.Code(err), codes.ResourceExhausted, "%v", err)
	_, err = p.Manifest(ctx, addr, "v")
	assert.NilError(t, err)
}
