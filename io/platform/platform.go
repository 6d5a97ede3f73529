// Package platform reads the platform's configuration service and instance list.
// Both are read-only. app/entry and app/agent use it; app/gateway and app/sidecar use the
// top-level package platform.
//
// # Usage
//
//	c := platform.NewClient("http://127.0.0.1:8500", http.DefaultClient)
//	cfg, err := c.Config(ctx, after, 20*time.Second)
//	if errors.Is(err, platform.ErrUnchanged) {
//		// nothing newer than after within the wait
//	}
//
// # Protocol
//
// GET /v1/config?after=REVISION&era=ERA&wait_ms=N returns the document with the header
// X-Revision, or 304 if nothing newer was published within the wait. GET /v1/instances
// returns the instance list as JSON in the same way. The HTTP transport compresses the
// bodies.
//
// Every response has the header X-Era, which rises by one whenever the platform's store is
// restored from a copy. Revisions are then given out again, so a revision is meaningful only
// with its era: if era is not that of the store, the current document is returned at once.
// A response without a valid era counts as one of the era asked for.
//
// # Connections
//
// Responses do not name their request. Each call uses a new connection, so that a platform that
// repeats a response cannot answer a later call with it.
package platform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"amaranthturn/core/config"
	"amaranthturn/core/fleet"
	"amaranthturn/io/bounded"
)

// Headers of responses.
const (
	RevisionHeader = "X-Revision"
	EraHeader      = "X-Era" // how often the store was restored from a copy
)

// maxListBytes is the maximum size of the instance list.
const maxListBytes = 4 << 20

// requestMargin is added to the wait of a long poll to get the timeout of the request.
const requestMargin = 3 * time.Second

// ErrUnchanged reports that nothing newer was published within the wait.
var ErrUnchanged = errors.New("unchanged")

// UnreachableError reports that the platform did not return a valid response.
type UnreachableError struct {
	URL    string
	Status int // HTTP status; 0 if the status is not the cause
	Cause  error
}

// Error implements error.
func (e *UnreachableError) Error() string {
	if e.Status != 0 {
		return fmt.Sprintf("platform %s returned status %d", e.URL, e.Status)
	}
	return fmt.Sprintf("platform %s: %v", e.URL, e.Cause)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// Version is the position of a published document.
type Version struct {
	Position fleet.Position
	// EraProblem reports that the response did not state its era, although the era asked for
	// shows that the platform does.
	EraProblem error
}

// Config is a published configuration document.
type Config struct {
	Version
	Body []byte
}

// List is a published instance list.
type List struct {
	Version
	Instances []fleet.Instance
}

// InstanceRecord is the wire form of an instance.
type InstanceRecord struct {
	ID            string `json:"id"`
	Role          string `json:"role"`
	Region        string `json:"region"`
	Zone          string `json:"availability_zone"`
	Pool          string `json:"pool,omitempty"`
	Address       string `json:"address"`
	CallerAddress string `json:"caller_address,omitempty"`
	Leaving       bool   `json:"leaving,omitempty"`
}

// Client reads the platform.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the platform at base that sends its requests with h.
func NewClient(base string, h *http.Client) *Client {
	return &Client{base: base, http: h}
}

// Config returns the document if it is newer than position after. It waits up to wait
// for a newer one. Errors: ErrUnchanged, *UnreachableError.
func (c *Client) Config(ctx context.Context, after fleet.Position, wait time.Duration) (Config, error) {
	version, body, err := c.get(ctx, "/v1/config", after, wait, config.MaxDocumentBytes+1)
	if err != nil {
		return Config{}, err
	}
	return Config{Version: version, Body: body}, nil
}

// Instances returns the list if it is newer than position after. It waits up to wait for
// a newer one. Errors: ErrUnchanged, *UnreachableError.
func (c *Client) Instances(ctx context.Context, after fleet.Position, wait time.Duration) (List, error) {
	version, body, err := c.get(ctx, "/v1/instances", after, wait, maxListBytes)
	if err != nil {
		return List{}, err
	}
	var records []InstanceRecord
	if err := json.Unmarshal(body, &records); err != nil {
		return List{}, &UnreachableError{URL: c.base, Cause: eris.Wrap(err, "instance list")}
	}
	list := List{Version: version}
	for _, r := range records {
		in, err := r.Instance()
		if err != nil {
			return List{}, &UnreachableError{URL: c.base, Cause: err}
		}
		list.Instances = append(list.Instances, in)
	}
	return list, nil
}

// Instance converts the wire form to an instance.
func (r InstanceRecord) Instance() (fleet.Instance, error) {
	role, ok := fleet.ParseRole(r.Role)
	if !ok {
		return fleet.Instance{}, eris.Errorf("instance %q has unknown role %q", r.ID, r.Role)
	}
	return fleet.Instance{
		ID: fleet.InstanceID(r.ID), Role: role, Region: fleet.Region(r.Region), Zone: fleet.Zone(r.Zone),
		Pool: fleet.Pool(r.Pool), Address: r.Address, CallerAddress: r.CallerAddress, Leaving: r.Leaving,
	}, nil
}

// NewInstanceRecord returns the wire form of an instance.
func NewInstanceRecord(in fleet.Instance) InstanceRecord {
	return InstanceRecord{
		ID: string(in.ID), Role: in.Role.String(), Region: string(in.Region), Zone: string(in.Zone),
		Pool: string(in.Pool), Address: in.Address, CallerAddress: in.CallerAddress, Leaving: in.Leaving,
	}
}

func (c *Client) get(ctx context.Context, path string, after fleet.Position, wait time.Duration, limit int64) (Version, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+requestMargin)
	defer cancel()
	v, body, err := c.read(ctx, path, after, wait, limit)
	bounded.DropSilent(ctx, c.http)
	return v, body, err
}

func (c *Client) read(ctx context.Context, path string, after fleet.Position, wait time.Duration, limit int64) (Version, []byte, error) {
	q := url.Values{
		"after": {strconv.FormatUint(uint64(after.Revision), 10)}, "era": {strconv.FormatUint(uint64(after.Era), 10)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path+"?"+q.Encode(), nil)
	if err != nil {
		return Version{}, nil, &UnreachableError{URL: c.base, Cause: err}
	}
	req.Close = true
	resp, err := c.http.Do(req)
	if err != nil {
		return Version{}, nil, &UnreachableError{URL: c.base, Cause: err}
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotModified:
		return Version{}, nil, ErrUnchanged
	default:
		return Version{}, nil, &UnreachableError{URL: c.base, Status: resp.StatusCode}
	}
	rev, err := strconv.ParseUint(resp.Header.Get(RevisionHeader), 10, 64)
	if err != nil {
		return Version{}, nil, &UnreachableError{URL: c.base, Cause: eris.Wrap(err, RevisionHeader)}
	}
	body, err := bounded.ReadAll(resp.Body, bounded.PartBody, limit)
	if err != nil {
		return Version{}, nil, &UnreachableError{URL: c.base, Cause: err}
	}
	era, problem := eraOf(resp.Header, after.Era)
	return Version{Position: fleet.Position{Era: era, Revision: fleet.Revision(rev)}, EraProblem: problem}, body, nil
}

// eraOf returns the era that a response states, or known if it does not state a valid one.
func eraOf(h http.Header, known fleet.Era) (fleet.Era, error) {
	values := h.Values(EraHeader)
	if len(values) == 0 && known == 0 {
		return 0, nil
	}
	if len(values) != 1 {
		return known, eris.Errorf("%s is stated %d times", EraHeader, len(values))
	}
	era, err := strconv.ParseUint(values[0], 10, 64)
	if err != nil {
		return known, eris.Wrap(err, EraHeader)
	}
	return fleet.Era(era), nil
}
