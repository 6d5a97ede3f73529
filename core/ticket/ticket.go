// Package ticket guarantees that an order runs at most once, without stored or
// shared state: the caller holds a signed ticket that permits exactly one
// incarnation of one agent to run the order.
//
// # Usage
//
// An entry issues tickets and an agent redeems them:
//
//	s, _, err := issuer.Issue(ticket.Ticket{Service: "orders", Target: "target-3", Incarnation: inc}, lifetime, now)
//	t, err := ticket.Verify(ring, s)
//	switch d := table.Begin(t, deadline, now); d.Verdict {
//	case ticket.VerdictRun:
//		result := run()
//		table.Finish(t.ID, result)
//	case ticket.VerdictJoin:   // an earlier attempt is running: wait for it
//	case ticket.VerdictReplay: // an earlier attempt finished: d.Result is its result
//	case ticket.VerdictRefuse: // d.Outcome and d.Reason describe what is known
//	}
//
// # Invariants
//
// Begin returns VerdictRun at most once per ticket. The outcome not_run is
// returned only after the table holds state that refuses every later attempt
// with the same ticket.
package ticket

import (
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/google/uuid"

	"amaranthturn/core/fleet"
	"amaranthturn/core/keys"
)

const macPurpose = "order_ticket"

// MaxLen is the maximum length of an encoded ticket in bytes.
const MaxLen = 2048

// ErrMalformed is returned for a string that is not an encoded ticket.
var ErrMalformed = errors.New("malformed ticket")

// ID identifies a ticket.
type ID string

// Ticket permits one order to run on one incarnation of one agent.
type Ticket struct {
	ID          ID                `json:"id"`
	Service     fleet.Service     `json:"service"`
	Workspace   fleet.Workspace   `json:"workspace"`
	Target      fleet.InstanceID  `json:"target"`
	Incarnation fleet.Incarnation `json:"incarnation"`
	Issued      time.Time         `json:"issued"`
	Expires     time.Time         `json:"expires"`
}

// Issuer issues tickets for the orders of callers.
type Issuer struct {
	ring *keys.Ring
}

// NewIssuer returns an issuer that signs with the active key of ring.
func NewIssuer(ring *keys.Ring) *Issuer {
	return &Issuer{ring: ring}
}

// Issue returns the encoded form of a ticket and the ticket itself. It sets the
// ID and the validity of t.
func (i *Issuer) Issue(t Ticket, lifetime time.Duration, now time.Time) (string, Ticket, error) {
	t.ID = ID(uuid.NewString())
	t.Issued = now.UTC().Truncate(time.Millisecond)
	t.Expires = t.Issued.Add(lifetime)
	body, err := json.Marshal(t)
	if err != nil {
		return "", Ticket{}, fmt.Errorf("encode ticket: %w", err)
	}
	mac := i.ring.Sign(macPurpose, body)
	enc := base64.RawURLEncoding
	return strings.Join([]string{enc.EncodeToString(body), string(mac.Key), enc.EncodeToString(mac.Sum)}, "."), t, nil
}

// Verify verifies the signature of an encoded ticket and decodes it. It does not
// check the expiry; Table.Begin does.
func Verify(ring *keys.Ring, s string) (Ticket, error) {
	if len(s) > MaxLen {
		return Ticket{}, ErrMalformed
	}
	parts := strings.Split(s, ".")
	if len(parts) != 3 {
		return Ticket{}, ErrMalformed
	}
	enc := base64.RawURLEncoding
	body, err := enc.DecodeString(parts[0])
	if err != nil {
		return Ticket{}, ErrMalformed
	}
	sum, err := enc.DecodeString(parts[2])
	if err != nil {
		return Ticket{}, ErrMalformed
	}
	if err := ring.Verify(macPurpose, keys.MAC{Key: keys.ID(parts[1]), Sum: sum}, body); err != nil {
		return Ticket{}, err
	}
	var t Ticket
	if err := json.Unmarshal(body, &t); err != nil {
		return Ticket{}, ErrMalformed
	}
	return t, nil
}
