package spread

import (
	"encoding/json"
	"errors"
	"fmt"

	"amaranthturn/core/config"
	"amaranthturn/core/fleet"
	"amaranthturn/core/keys"
)

const planPurpose = "target_plan"

// ErrBadPlan reports a plan that cannot be decoded.
var ErrBadPlan = errors.New("malformed plan")

// SignedPlan is the configuration resolved for one target. Agents get it in place
// of the document, which keeps their control traffic small.
type SignedPlan struct {
	Revision fleet.Revision
	Body     []byte // JSON of a config.TargetPlan; nil when as in the plan before
	MAC      keys.MAC
}

// SignPlan encodes and signs the plan of a target.
func SignPlan(ring *keys.Ring, target fleet.InstanceID, rev fleet.Revision, p config.TargetPlan) (SignedPlan, error) {
	body, err := json.Marshal(p)
	if err != nil {
		return SignedPlan{}, fmt.Errorf("encode plan: %w", err)
	}
	return SignedPlan{Revision: rev, Body: body, MAC: ring.Sign(planPurpose, []byte(target), revisionBytes(rev), body)}, nil
}

// PlanHolder keeps the newest plan that an agent was given. Plans only rise.
type PlanHolder struct {
	ring   *keys.Ring
	target fleet.InstanceID
	rev    fleet.Revision
	body   []byte
	plan   config.TargetPlan
}

// NewPlanHolder returns a holder without a plan.
func NewPlanHolder(ring *keys.Ring, target fleet.InstanceID) *PlanHolder {
	return &PlanHolder{ring: ring, target: target}
}

// Offer takes a plan and says what became of it.
func (h *PlanHolder) Offer(s SignedPlan) Result {
	if s.Revision < h.rev {
		return Result{Verdict: Older}
	}
	if s.Revision == h.rev {
		return Result{Verdict: Known}
	}
	body := s.Body
	if body == nil {
		body = h.body
	}
	if err := h.ring.Check(planPurpose, s.MAC, []byte(h.target), revisionBytes(s.Revision), body); err != nil {
		if s.Body == nil {
			// Another entry told a plan in between; it will tell the next too.
			return Result{Verdict: Unfitting}
		}
		return Result{Verdict: Forged, Problem: err}
	}
	var p config.TargetPlan
	if err := json.Unmarshal(body, &p); err != nil {
		return Result{Verdict: Forged, Problem: fmt.Errorf("%w: %w", ErrBadPlan, err)}
	}
	h.rev, h.plan, h.body = s.Revision, p, body
	return Result{Verdict: Accepted, Changed: true}
}

// Plan returns the plan in force and its revision; the revision is 0 without one.
func (h *PlanHolder) Plan() (config.TargetPlan, fleet.Revision) { return h.plan, h.rev }
