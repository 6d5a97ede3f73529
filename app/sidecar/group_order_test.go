package sidecar

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"amaranthturn/core/fleet"
	"amaranthturn/core/roster"
	"amaranthturn/core/upgrade"
	"amaranthturn/platform"
)

// newTestSidecar returns an agent of a group of n agents in three regions.
func newTestSidecar(n int) *Sidecar {
	regions := map[fleet.Zone]fleet.Region{"a-1": "a", "b-1": "b", "c-1": "c"}
	s := &Sidecar{settings: &platform.Settings{TargetService: "s", Regions: regions}, roster: roster.New(roster.DefaultSettings)}
	zones := []fleet.Zone{"a-1", "b-1", "c-1"}
	for i := range n {
		s.roster.Update(roster.Target{
			ID: fleet.InstanceID(fmt.Sprintf("i-%04d", i)), Service: "s", Address: fmt.Sprintf("10.0.%d.%d:8620", i/200, i%200),
			State: roster.StateReady, Zone: zones[i%len(zones)], Incarnation: 1,
		})
	}
	return s
}

// The position of each engine equals its index in the group's order, and an engine that is
// not listed has no position.
func TestPositionsMatchGroupOrder(t *testing.T) {
	s := newTestSidecar(24)
	positions := s.positions(s.group(), 2)
	assert.Equal(t, len(positions), 24)
	for i, member := range s.groupOrder(s.group(), 2) {
		assert.Equal(t, positions[member.Address], upgrade.Position{Index: i, Count: 24})
	}
	assert.Equal(t, positions["10.9.9.9:8620"], upgrade.Position{})
}

// BenchmarkPositions measures what an agent computes each time it checks whether its group
// has changed.
func BenchmarkPositions(b *testing.B) {
	for _, n := range []int{24, 58, 88} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := newTestSidecar(n)
			for b.Loop() {
				group := s.group()
				positions := s.positions(group, 2)
				for _, t := range membersByAddress(group) {
					_ = positions[t.Address]
				}
			}
		})
	}
}
