package crashblame

import (
	"container/list"
	"time"

	"amaranthturn/core/clock"
	"amaranthturn/core/fleet"
)

type proofRecord struct {
	proven   fleet.Fingerprint
	provenAt time.Time
}

// proofs are the times at which something was last known to be sound. The least recently renewed ones
// are dropped when there are too many.
type proofs struct {
	elements map[fleet.Fingerprint]*list.Element
	order    *list.List // of *proofRecord, least recently renewed first
}

func newProofs() *proofs {
	return &proofs{elements: map[fleet.Fingerprint]*list.Element{}, order: list.New()}
}

// prove records a proof and returns whether there was no valid one before.
func (p *proofs) prove(f fleet.Fingerprint, provenAt, now time.Time) bool {
	if e, ok := p.elements[f]; ok {
		wasValid := p.isValid(f, now)
		record := e.Value.(*proofRecord)
		record.provenAt = clock.Later(record.provenAt, provenAt)
		p.order.MoveToBack(e)
		return !wasValid
	}
	p.elements[f] = p.order.PushBack(&proofRecord{proven: f, provenAt: provenAt})
	if len(p.elements) > MaxProofs {
		oldest := p.order.Remove(p.order.Front()).(*proofRecord)
		delete(p.elements, oldest.proven)
	}
	return true
}

// at returns when f was last proven.
func (p *proofs) at(f fleet.Fingerprint) (time.Time, bool) {
	if e, ok := p.elements[f]; ok {
		return e.Value.(*proofRecord).provenAt, true
	}
	return time.Time{}, false
}

func (p *proofs) isValid(f fleet.Fingerprint, now time.Time) bool {
	at, ok := p.at(f)
	return ok && now.Sub(at) < ProofLifetime
}
