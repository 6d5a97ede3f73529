// Package ticket makes orders run at most once with nothing stored and no shared
// state: the caller holds a signed ticket that names the one agent, and the one
// run of that agent, where the order may ever run.
//
// # Usage
//
// An entry issues and an agent redeems:
//
//	s, t := issuer.Issue("orders", "target-3", incarnation, life, now)
//	t, err := ticket.Open(ring, s)
//	switch d := table.Begin(t, deadline, now); d.Verdict {
//	case ticket.VerdictRun:
//		answer := run()
//		table.Finish(t.ID, answer, now)
//	case ticket.VerdictJoin:   // a first attempt runs: wait for it
//	case ticket.VerdictAnswer: // it ran: d.Answer is the same answer again
//	case ticket.VerdictRefuse: // d.Outcome and d.Reason say what is known
//	}
//
// # Invariants
//
// Begin answers VerdictRun at most once per ticket. An outcome of not_run is
// only answered after the table holds something that refuses every later
// attempt with the same ticket.
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

const purpose = "order_ticket"

// MaxLen bounds the encoded form, in bytes.
const MaxLen = 2048

// ErrMalformed reports a string that is not a ticket.
var ErrMalformed = errors.New("malformed ticket")

// ID names a ticket.
type ID string

// Ticket is the permission to run one order on one run of one agent.
type Ticket struct {
	ID          ID                `json:"id"`
	Service     fleet.Service     `json:"service"`
	Workspace   fleet.Workspace   `json:"workspace"`
	Target      fleet.InstanceID  `json:"target"`
	Incarnation fleet.Incarnation `json:"incarnation"`
	Issued      time.Time         `json:"issued"`
	Expires     time.Time         `json:"expires"`
}

// Issuer makes tickets for the orders of callers.
type Issuer struct {
	ring *keys.Ring
}

// NewIssuer returns an issuer that signs with the active key of ring.
func NewIssuer(ring *keys.Ring) *Issuer {
	return &Issuer{ring: ring}
}

// Issue returns a ticket and its encoded form.
func (i *Issuer) Issue(t Ticket, life time.Duration, now time.Time) (string, Ticket, error) {
	t.ID = ID(uuid.NewString())
	t.Issued = now.UTC().Truncate(time.Millisecond)
	t.Expires = t.Issued.Add(life)
	body, err := json.Marshal(t)
	if err != nil {
		return "", Ticket{}, fmt.Errorf("encode ticket: %w", err)
	}
	mac := i.ring.Sign(purpose, body)
	enc := base64.RawURLEncoding
	return strings.Join([]string{enc.EncodeToString(body), string(mac.Key), enc.EncodeToString(mac.Sum)}, "."), t, nil
}

// Open checks the signature of an encoded ticket and returns it. It does not
// look at the expiry: Table.Begin does.
func Open(ring *keys.Ring, s string) (Ticket, error) {
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
	if err := ring.Check(purpose, keys.MAC{Key: keys.ID(parts[1]), Sum: sum}, body); err != nil {
		return Ticket{}, err
	}
	var t Ticket
	if err := json.Unmarshal(body, &t); err != nil {
		return Ticket{}, ErrMalformed
	}
	return t, nil
}
