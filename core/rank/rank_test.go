package rank

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

func members(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprint("m", i)
	}
	return out
}

// TestMemberLossMovesOnlyItsKeys checks that removing a member moves only the keys for
// which it ranked first.
func TestMemberLossMovesOnlyItsKeys(t *testing.T) {
	all := members(20)
	without := slices.Delete(slices.Clone(all), 7, 8)
	for k := range 500 {
		key := fmt.Sprint("key", k)
		first := Top(key, all, 1)[0]
		if first != "m7" {
			assert.Equal(t, Top(key, without, 1)[0], first)
		}
	}
}

func TestRankIgnoresMemberOrder(t *testing.T) {
	all := members(10)
	reversed := slices.Clone(all)
	slices.Reverse(reversed)
	assert.DeepEqual(t, Top("k", all, 10), Top("k", reversed, 10))
	assert.Equal(t, Position("k", all, Top("k", all, 10)[3]), 3)
	assert.Equal(t, Position("k", all, "nobody"), -1)
}

func TestKeysAreDistributedEvenly(t *testing.T) {
	counts := map[string]int{}
	for k := range 10_000 {
		counts[Top(fmt.Sprint(k), members(10), 1)[0]]++
	}
	for m, n := range counts {
		assert.Assert(t, n > 850 && n < 1150, "%s ranks first for %d of 10,000 keys", m, n)
	}
}

func TestPositionIsTheIndexInTheOrder(t *testing.T) {
	all := members(9)
	for k := range 50 {
		key := fmt.Sprint("key", k)
		for i, m := range Top(key, all, len(all)) {
			assert.Equal(t, Position(key, all, m), i)
		}
		assert.Equal(t, Position(key, all, "other"), -1)
	}
}
