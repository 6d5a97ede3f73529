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

// agentOf returns an agent of a group of n in three regions.
func agentOf(n int) *Sidecar {
	regions := map[fleet.Zone]fleet.Region{"a-1": "a", "b-1": "b", "c-1": "c"}
	s := &Sidecar{set: &platform.Settings{TargetService: "s", Regions: regions}, roster: roster.New(roster.DefaultSettings)}
	zones := []fleet.Zone{"a-1", "b-1", "c-1"}
	for i := range n {
		s.roster.Update(roster.Target{
			ID: fleet.InstanceID(fmt.Sprintf("i-%04d", i)), Service: "s", Address: fmt.Sprintf("10.0.%d.%d:8620", i/200, i%200),
			State: roster.StateReady, Zone: zones[i%len(zones)], Incarnation: 1,
		})
	}
	return s
}

// Each engine has the place at which the group's order names it, and one that is not listed
// has none.
func TestPlacesAreThoseOfTheOrder(t *testing.T) {
	s := agentOf(24)
	places := s.places(s.group(), 2)
	assert.Equal(t, len(places), 24)
	for i, x := range s.groupOrder(s.group(), 2) {
		assert.Equal(t, places[x.Address], upgrade.Position{Index: i, Count: 24})
	}
	assert.Equal(t, places["10.9.9.9:8620"], upgrade.Position{})
}

// BenchmarkPlaces is what an agent computes each time that it looks whether its group has
// changed.
func BenchmarkPlaces(b *testing.B) {
	for _, n := range []int{24, 58, 88} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := agentOf(n)
			for b.Loop() {
				group := s.group()
				places := s.places(group, 2)
				for _, t := range mates(group) {
					_ = places[t.Address]
				}
			}
		})
	}
}
