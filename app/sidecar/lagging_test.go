package sidecar

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthturn/app/daemon"
	"amaranthturn/core/fleet"
	"amaranthturn/core/mirror"
	"amaranthturn/core/upgrade"
	"amaranthturn/io/peer"
	"amaranthturn/platform"
)

// laggingAgent is an agent that follows the copy of an entry and lags behind.
type laggingAgent struct {
	*Sidecar
	entry    *mirror.Mirror
	clock    *fakeClock
	position mirror.Position
}

func newLaggingAgent(t *testing.T) *laggingAgent {
	s, c, _ := newModelAgent(t)
	s.doc = nil
	a := &laggingAgent{Sidecar: s, clock: c, entry: daemon.NewMirror(s.settings, &platform.Decoder{}), position: mirror.Position{Era: 1, Revision: 8}}
	a.entry.Load(mirror.Snapshot{At: a.position}, c.t, c.t)
	a.write(platform.ConfigKey, `{"Version":11,"Services":[{"Name":"llm"}]}`)
	a.catchUp()
	return a
}

// write changes an item in the entry's copy. An empty value deletes it.
func (a *laggingAgent) write(key, value string) {
	a.position.Revision++
	e := mirror.Event{Key: key, Value: []byte(value), Era: a.position.Era, Revision: a.position.Revision, Deleted: value == ""}
	a.entry.Apply([]mirror.Event{e}, a.position, a.clock.t)
}

func (a *laggingAgent) catchUp() {
	a.applyUpdate(peer.StoreChanges{Update: a.entry.ChangesSince(a.mirror.Position())})
}

// A configuration that is refused, or deleted, follows a valid one before an agent has received that
// one. The agent must not stay on an older configuration than its neighbours.
func TestLaggingAgentReceivesTheConfigurationInForce(t *testing.T) {
	for name, later := range map[string][]string{
		"refused": {`{"Version":13,"Routes":3}`},
		"twice":   {`{`, `[]`},
		"deleted": {""},
	} {
		t.Run(name, func(t *testing.T) {
			a := newLaggingAgent(t)
			a.write(platform.ConfigKey, `{"Version":12}`)
			for _, value := range later {
				a.write(platform.ConfigKey, value)
			}
			a.catchUp()
			assert.Equal(t, a.doc.Version, uint64(12))
			a.write(platform.ConfigKey, `{"Version":14}`)
			a.catchUp()
			assert.Equal(t, a.doc.Version, uint64(14))
		})
	}
}

// Two versions of weights are declared while an agent lags. It receives the second one only, and when the
// first one was declared from an entry.
func TestLaggingAgentKnowsBothDeclarations(t *testing.T) {
	a := newLaggingAgent(t)
	declaredAt := a.clock.t
	for version, lag := range []time.Duration{3 * time.Second, time.Second} {
		a.write(platform.OperatorKeys+"version/m", fmt.Sprintf(`{"Model":"m","Version":%d}`, version+2))
		a.clock.t = a.clock.t.Add(lag)
	}
	a.catchUp()
	assert.Equal(t, a.declarationsOf("m").Newest(), uint64(3))
	a.mu.Lock()
	a.mergeExchange(peer.ExchangeMessage{Declared: map[fleet.Model][]upgrade.Age{"m": {{Version: 2, Known: 4 * time.Second}, {Version: 3, Known: time.Second}}}}, a.clock.t)
	a.mu.Unlock()
	assert.DeepEqual(t, a.declarationsOf("m").VersionsToFetch(1), []uint64{2, 3})
	assert.Equal(t, a.declarationsOf("m").NewerDeclaredAt(1), declaredAt)
}

// A target is removed and listed again while an agent lags, or comes and leaves.
func TestLaggingAgentHasTheTargetsThatAreListed(t *testing.T) {
	record := func(born int) string {
		return fmt.Sprintf(`{"Service":"llm","Address":"10.0.0.9:1","Zone":"z","Version":"v1","Slots":4,"State":"ready","ColdLeftMs":0,"born":%d,"Sequence":1}`, born)
	}
	for _, born := range []int{5, 7} {
		a := newLaggingAgent(t)
		a.write(platform.TargetKeys+"a", record(5))
		a.catchUp()
		a.write(platform.TargetKeys+"a", "")
		a.write(platform.TargetKeys+"a", record(born))
		a.write(platform.TargetKeys+"b", record(1))
		a.write(platform.TargetKeys+"b", "")
		a.catchUp()
		assert.Equal(t, len(a.roster.All()), 1)
		got, ok := a.roster.Get("a")
		assert.Assert(t, ok)
		assert.Equal(t, got.Incarnation, fleet.Incarnation(born))
	}
}

// Guards against review/8 (LOST) in agents, which grew with each change of a large configuration as entries did.
func TestAgentHoldsOneStateOfALargeConfiguration(t *testing.T) {
	const size, changes = 1 << 20, 100
	a := newLaggingAgent(t)
	for i := range changes {
		a.write(platform.ConfigKey, fmt.Sprintf(`{"Version":%d,"Note":%q}`, 12+i, strings.Repeat("x", size)))
		a.catchUp()
	}
	assert.Equal(t, a.doc.Version, uint64(11+changes))
	u := a.copyUsage()
	assert.Check(t, u.ItemBytes+u.DeletedBytes+u.SupersededBytes <= 2*size, "%+v", u)
}
