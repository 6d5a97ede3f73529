package upgrade

import "time"

// Timeline holds the times after a declaration by which the steps of a version change have to be done. An
// engine that can load in time gets requests until shortly before the limit, since those that it has not
// begun when it is told to load wait for the new weights. Another one gets none that it could begin
// after the limit.
type Timeline struct {
	// Limit is the time from the declaration after which no request may begin on older
	// weights.
	Limit time.Duration
}

const (
	// maxEnginePause is how long a sound engine may fall silent. It then goes on with the requests that
	// have arrived, and may begin one although its connection has been closed meanwhile.
	maxEnginePause = 1250 * time.Millisecond
	// loadMargin allows for the propagation delays of the declaration and of the load command.
	loadMargin = 700 * time.Millisecond
	// sendMargin allows for the propagation delays of the declaration and of a request.
	sendMargin = 500 * time.Millisecond
	// cancelMargin allows for the propagation delay of a cancellation.
	cancelMargin = 250 * time.Millisecond
)

// LastLoad returns when the last engine is told to load, which then accepts no further requests.
func (t Timeline) LastLoad() time.Duration { return t.Limit - loadMargin }

// LastSend returns until when an engine with older weights gets requests, when responses begin startTime
// after their request was sent and the engine does not pause.
func (t Timeline) LastSend(startTime time.Duration) time.Duration {
	return t.Limit - max(sendMargin, cancelMargin+startTime)
}

// LastSafeSend returns until when an engine gets requests that may still have older weights at the limit. A
// request that is sent in time begins before the limit even if the engine pauses and does not react to
// a cancellation.
func (t Timeline) LastSafeSend(startTime time.Duration) time.Duration {
	return t.Limit - maxEnginePause - max(cancelMargin, startTime)
}

// Cancel returns when requests are canceled that engines with older weights have not begun.
func (t Timeline) Cancel() time.Duration { return t.Limit - cancelMargin }

// Engine is what is known of the versions of an engine.
type Engine struct {
	Serving uint64
	// Loadable is the newest version that the engine's agent can load by LastLoad.
	Loadable uint64
}

// MaySend reports whether an engine may get a request now.
func (t Timeline) MaySend(d Declarations, e Engine, startTime time.Duration, now time.Time) bool {
	return e.Serving >= d.MinVersion(t.LastSend(startTime), now) &&
		max(e.Serving, e.Loadable) >= d.MinVersion(t.LastSafeSend(startTime), now)
}
