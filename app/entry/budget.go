package entry

import (
	"amaranthturn/core/config"
	"amaranthturn/core/fleet"
	"amaranthturn/core/retry"
)

const (
	// retryBurst is the maximum number of retries that a budget accumulates.
	retryBurst = 20
	// maxBudgets is the maximum number of workspaces, and of retry groups, with their own retry
	// budget. It is limited because callers choose the name of the workspace.
	maxBudgets = 1024
)

// retryGroup identifies the targets that may run a request: those of a model or of a plain
// service.
type retryGroup struct {
	model   fleet.Model
	service fleet.Service
}

func (h *requestHandler) retryGroup() retryGroup {
	return retryGroup{model: h.gen.Model, service: h.service}
}

// recordRequest records the first attempt of a request in its budgets. reqMu must be held.
func (h *requestHandler) recordRequest() {
	h.e.budget.RecordRequest()
	h.e.workspaceBudget(h.gen.Workspace).RecordRequest()
	h.e.groupBudget(h.retryGroup()).RecordRequest()
}

func (h *requestHandler) allowRetry() bool {
	h.e.reqMu.Lock()
	defer h.e.reqMu.Unlock()
	return h.takeRetry()
}

// takeRetry uses the reserved retry, or takes one from the budgets. reqMu must be held.
func (h *requestHandler) takeRetry() bool {
	if h.retryReserved {
		h.retryReserved = false
		return true
	}
	return retry.AllowAll(h.e.workspaceBudget(h.gen.Workspace), h.e.groupBudget(h.retryGroup()), h.e.budget)
}

// workspaceBudget returns the retry budget of a workspace. reqMu must be held.
func (e *Entry) workspaceBudget(w fleet.Workspace) *retry.Budget {
	if e.budgets == nil {
		e.budgets = map[fleet.Workspace]*retry.Budget{}
	}
	return budgetOf(e, e.budgets, w)
}

// groupBudget returns the retry budget of the requests to a model or service, so that the
// requests to others don't pay for its retries. reqMu must be held.
func (e *Entry) groupBudget(g retryGroup) *retry.Budget {
	if e.groupBudgets == nil {
		e.groupBudgets = map[retryGroup]*retry.Budget{}
	}
	return budgetOf(e, e.groupBudgets, g)
}

// budgetOf returns the budget of a key. Beyond maxBudgets it is that of the entry.
func budgetOf[K comparable](e *Entry, budgets map[K]*retry.Budget, key K) *retry.Budget {
	b, ok := budgets[key]
	if !ok {
		if len(budgets) >= maxBudgets {
			return e.budget
		}
		b = retry.NewBudget(config.DefaultRetryShare, retryBurst/2)
		if doc, _ := e.document(); doc != nil {
			b.SetShare(doc.Defaults.Limits.RetryShare)
		}
		budgets[key] = b
	}
	return b
}

// setRetryShare sets the share of all budgets. reqMu must be held.
func (e *Entry) setRetryShare(share float64) {
	e.budget.SetShare(share)
	for _, b := range e.budgets {
		b.SetShare(share)
	}
	for _, b := range e.groupBudgets {
		b.SetShare(share)
	}
}
