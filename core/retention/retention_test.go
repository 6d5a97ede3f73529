package retention

import (
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"amaranthturn/core/fleet"
	"amaranthturn/internal/fixedseed"
)

func TestMain(m *testing.M) { os.Exit(fixedseed.Main(m)) }

var now = time.Unix(1_700_000_000, 0)

func TestWantedVersionsAreNeverDropped(t *testing.T) {
	l := NewLedger(100)
	_, ok := l.Admit("a", 60, now)
	assert.Assert(t, ok)
	_, ok = l.Admit("b", 60, now)
	assert.Assert(t, !ok, "must not fit together with a wanted version")
	l.SetRole("a", RoleFallback, now, now)
	drop, ok := l.Admit("b", 60, now)
	assert.Assert(t, ok)
	assert.DeepEqual(t, drop, []fleet.Version{"a"})
}

func TestKeptVersionsExpire(t *testing.T) {
	l := NewLedger(100)
	l.Admit("a", 10, now)
	l.SetRole("a", RoleKept, now.Add(time.Minute), now)
	assert.Equal(t, len(l.Expired(now.Add(59*time.Second))), 0)
	assert.Equal(t, len(l.Expired(now.Add(61*time.Second))), 1)
}

// TestMemoryIsBounded checks that the used memory equals the sum of the held versions and stays
// within the limit after any sequence of calls.
func TestMemoryIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := NewLedger(100)
		randomVersion := func(t *rapid.T) fleet.Version {
			return fleet.Version(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "v"))
		}
		t.Repeat(map[string]func(*rapid.T){
			"admit": func(t *rapid.T) { l.Admit(randomVersion(t), fleet.Bytes(rapid.IntRange(1, 80).Draw(t, "size")), now) },
			"keep":  func(t *rapid.T) { l.SetRole(randomVersion(t), Role(rapid.IntRange(0, 2).Draw(t, "role")), now, now) },
			"drop":  func(t *rapid.T) { l.Drop(randomVersion(t)) },
			"": func(t *rapid.T) {
				var sum fleet.Bytes
				for _, v := range l.Versions() {
					sum += l.records[v].size
				}
				if sum != l.Used() || sum > 100 {
					t.Fatalf("Used returned %d, want %d, at most 100", l.Used(), sum)
				}
			},
		})
	})
}
