package configsync

import (
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
	Revision fleet.Revision
	Body     []byte // JSON of a config.TargetPlan; nil if unchanged since the previous plan
	MAC      keys.MAC
}

// SignPlan encodes and signs the plan of a target.
func SignPlan(ring *keys.Ring, target fleet.InstanceID, rev fleet.Revision, p config.TargetPlan) (SignedPlan, error) {
	body, err := json.Marshal(p)
	if err != nil {
		return SignedPlan{}, fmt.Errorf("encode plan: %w", err)
	}
	return SignedPlan{Revision: rev, Body: body, MAC: ring.Sign(planPurpose, []byte(target), encodeRevision(rev), body)}, nil
}

// PlanHolder keeps the newest plan that an agent received. The revision of the plan
// only increases.
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

// Offer verifies a received plan and puts it in force if it is newer.
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
	if err := h.ring.Verify(planPurpose, s.MAC, []byte(h.target), encodeRevision(s.Revision), body); err != nil {
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
	h.rev, h.plan, h.body = s.Revision, p, body
	return Result{Verdict: Accepted, Changed: true}
}

// Plan returns the plan in force and its revision; the revision is 0 if no plan is
// in force.
func (h *PlanHolder) Plan() (config.TargetPlan, fleet.Revision) { return h.plan, h.rev }
