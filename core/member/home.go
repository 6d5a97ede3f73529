package member

import (
	"maps"
	"slices"

	"amaranthturn/core/fleet"
	"amaranthturn/core/rank"
)

// AttachAll is the number of entries up to which every agent attaches to every
// entry, so that each entry knows each target.
const AttachAll = 8

// HomeCount is how many entries of a zone know the targets of one key.
const HomeCount = 3

// HomeKey names what a home entry knows: the targets of a pool in a zone.
func HomeKey(z fleet.Zone, p fleet.Pool) string {
	return "home/" + string(z) + "/" + string(p)
}

// Homes returns the entries that the agents of a pool in a zone attach to, best
// first. All processes compute the same from the same list. Leaving entries do
// not count; where a zone has none, the whole fleet's entries serve it.
func Homes(list []fleet.Instance, z fleet.Zone, p fleet.Pool) []fleet.Instance {
	all := entries(list, func(in fleet.Instance) bool { return !in.Leaving })
	local := entries(all, func(in fleet.Instance) bool { return in.Zone == z })
	if len(all) <= AttachAll {
		return ordered(HomeKey(z, p), all, len(all))
	}
	if len(local) == 0 {
		local = all
	}
	return balanced(list, local, z, p)
}

// loadUnit is the agents that count as one unit of load of an entry, so that a
// single instance that comes or goes seldom moves others.
const loadUnit = 16

// balanced hands the pools of a zone to its entries one after the other, each to
// the entries with the least load so far, and returns those of pool p. All compute
// the same from the same list.
func balanced(list, local []fleet.Instance, z fleet.Zone, p fleet.Pool) []fleet.Instance {
	sizes := map[fleet.Pool]int{p: 0}
	for _, in := range list {
		if in.Role == fleet.RoleTarget && in.Zone == z {
			sizes[in.Pool]++
		}
	}
	loads := map[fleet.InstanceID]int{}
	for _, pool := range slices.Sorted(maps.Keys(sizes)) {
		homes := ordered(HomeKey(z, pool), local, len(local))
		slices.SortStableFunc(homes, func(a, b fleet.Instance) int { return loads[a.ID] - loads[b.ID] })
		homes = homes[:min(HomeCount, len(homes))]
		if pool == p {
			return homes
		}
		for _, in := range homes {
			loads[in.ID] += (sizes[pool] + loadUnit - 1) / loadUnit
		}
	}
	return nil
}

// Offered returns the entries that a caller in any zone should use for a pool,
// best first: the zone's own first, then the others. The caller's key spreads
// callers over equally good entries.
func Offered(list []fleet.Instance, z fleet.Zone, p fleet.Pool, caller string) []fleet.Instance {
	homes := Homes(list, z, p)
	near := entries(homes, func(in fleet.Instance) bool { return in.Zone == z })
	far := entries(homes, func(in fleet.Instance) bool { return in.Zone != z })
	return append(ordered(caller, near, len(near)), ordered(caller, far, len(far))...)
}

func entries(list []fleet.Instance, ok func(fleet.Instance) bool) []fleet.Instance {
	var out []fleet.Instance
	for _, in := range list {
		if in.Role == fleet.RoleEntry && ok(in) {
			out = append(out, in)
		}
	}
	return out
}

func ordered(key string, list []fleet.Instance, n int) []fleet.Instance {
	ids := make([]fleet.InstanceID, len(list))
	for i, in := range list {
		ids[i] = in.ID
	}
	var out []fleet.Instance
	for _, id := range rank.Top(key, ids, n) {
		i := slices.IndexFunc(list, func(in fleet.Instance) bool { return in.ID == id })
		out = append(out, list[i])
	}
	return out
}
