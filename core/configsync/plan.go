package configsync

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"

	"amaranthturn/core/config"
	"amaranthturn/core/fleet"
	"amaranthturn/core/keys"
)

const planPurpose = "target_plan"

// ErrBadPlan is returned for a plan that cannot be decoded.
var ErrBadPlan = errors.New("malformed plan")

// SignedPlan is the configuration resolved for one target. Agents receive it instead
// of the document to keep their control traffic small.
type SignedPlan struct {
	Position fleet.Position // at which the document was written, as far as the entry knows
	Held     fleet.Position // of the platform's response that contained the document
	Body     []byte         // JSON of a config.TargetPlan; nil if unchanged since the previous plan
	MAC      keys.MAC
}

// SignPlan encodes and signs the plan of a target by a document that was written at a position
// and received at held.
func SignPlan(ring *keys.Ring, target fleet.InstanceID, at, held fleet.Position, p config.TargetPlan) (SignedPlan, error) {
	body, err := json.Marshal(p)
	if err != nil {
		return SignedPlan{}, fmt.Errorf("encode plan: %w", err)
	}
	return SignedPlan{Position: at, Held: held, Body: body, MAC: ring.Sign(planPurpose, []byte(target), encodePositions(at, held), body)}, nil
}

// PlanHolder keeps the newest plan that an agent received. The position of the plan
// only increases. Plans of one era of the store are ordered by the store itself; entries can
// disagree for a moment where a document of a restored store was written.
type PlanHolder struct {
	ring   *keys.Ring
	target fleet.InstanceID
	at     fleet.Position
	held   fleet.Position
	body   []byte
	plan   config.TargetPlan
}

// NewPlanHolder returns a holder without a plan.
func NewPlanHolder(ring *keys.Ring, target fleet.InstanceID) *PlanHolder {
	return &PlanHolder{ring: ring, target: target}
}

// Offer verifies a received plan and puts it in force if it is newer.
func (h *PlanHolder) Offer(s SignedPlan) Result {
	order := s.Position.Compare(h.at)
	if s.Held.Era == h.held.Era {
		order = cmp.Or(s.Held.Compare(h.held), order)
	}
	switch {
	case order < 0:
		return Result{Verdict: Older}
	case order == 0:
		return Result{Verdict: Known}
	}
	body := s.Body
	if body == nil {
		body = h.body
	}
	if err := h.ring.Verify(planPurpose, s.MAC, []byte(h.target), encodePositions(s.Position, s.Held), body); err != nil {
		if s.Body == nil {
			// Another entry sent a plan in between, so the body held here is not the
			// previous plan of this sender; that entry will send the next plan too.
			return Result{Verdict: DeltaMismatch}
		}
		return Result{Verdict: Forged, Problem: err}
	}
	var p config.TargetPlan
	if err := json.Unmarshal(body, &p); err != nil {
		return Result{Verdict: Forged, Problem: fmt.Errorf("%w: %w", ErrBadPlan, err)}
	}
	h.at, h.held, h.plan, h.body = s.Position, s.Held, p, body
	return Result{Verdict: Accepted, Changed: true}
}

// Plan returns the plan in force and its position, which is zero if no plan is in force.
func (h *PlanHolder) Plan() (config.TargetPlan, fleet.Position) { return h.plan, h.at }

// encodePositions returns the input of a plan's MAC. The positions are equal in era 0, where
// builds that do not know eras sign the revision alone.
func encodePositions(at, held fleet.Position) []byte {
	if held.Era == 0 {
		return encodePosition(at)
	}
	return append(encodePosition(held), encodePosition(at)...)
}
