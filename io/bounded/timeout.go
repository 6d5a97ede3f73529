package bounded

import (
	"context"
	"net/http"
)

// DropSilent closes the idle connections of a client if a call ended because its context did. A
// connection may be silent for good without an error, and idle ones that were opened to the same peer
// may be so too. Otherwise each of them would cost the time of another call.
func DropSilent(ctx context.Context, client *http.Client) {
	if ctx.Err() != nil {
		client.CloseIdleConnections()
	}
}
