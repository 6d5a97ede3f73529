package membership

import (
	"maps"
	"slices"

	"amaranthturn/core/fleet"
	"amaranthturn/core/rank"
)

// AttachAllMaxEntries is the maximum number of entries with which every agent attaches to
// every entry, so that each entry knows each target.
const AttachAllMaxEntries = 8

// HomeEntryCount is the number of entries of a zone that know the targets of one key.
const HomeEntryCount = 3

// HomeKey returns the rendezvous key of the targets of a pool in a zone. The home
// entries of the key are the entries that know these targets.
func HomeKey(z fleet.Zone, p fleet.Pool) string {
	return "home/" + string(z) + "/" + string(p)
}

// HomeEntries returns the entries that the agents of a pool in a zone attach to, best
// first. All processes compute the same result from the same list. Leaving entries
// are excluded. If a zone has no entries, the entries of the whole fleet serve it.
func HomeEntries(list []fleet.Instance, z fleet.Zone, p fleet.Pool) []fleet.Instance {
	all := filterEntries(list, func(in fleet.Instance) bool { return !in.Leaving })
	local := filterEntries(all, func(in fleet.Instance) bool { return in.Zone == z })
	if len(all) <= AttachAllMaxEntries {
		return rankEntries(HomeKey(z, p), all, len(all))
	}
	if len(local) == 0 {
		local = all
	}
	return balancedHomes(list, local, z, p)
}

// agentsPerLoadUnit is the number of agents that count as one unit of load of an entry.
// The coarse unit ensures that a single added or removed instance seldom moves others.
const agentsPerLoadUnit = 16

// balancedHomes assigns the pools of a zone to its entries one after the other, each to
// the entries with the lowest load so far, and returns the entries of pool p. All
// processes compute the same result from the same list.
func balancedHomes(list, local []fleet.Instance, z fleet.Zone, p fleet.Pool) []fleet.Instance {
	sizes := map[fleet.Pool]int{p: 0}
	for _, in := range list {
		if in.Role == fleet.RoleTarget && in.Zone == z {
			sizes[in.Pool]++
		}
	}
	loads := map[fleet.InstanceID]int{}
	for _, pool := range slices.Sorted(maps.Keys(sizes)) {
		homes := rankEntries(HomeKey(z, pool), local, len(local))
		slices.SortStableFunc(homes, func(a, b fleet.Instance) int { return loads[a.ID] - loads[b.ID] })
		homes = homes[:min(HomeEntryCount, len(homes))]
		if pool == p {
			return homes
		}
		for _, in := range homes {
			loads[in.ID] += (sizes[pool] + agentsPerLoadUnit - 1) / agentsPerLoadUnit
		}
	}
	return nil
}

// EntriesForCaller returns the entries that a caller should use for a pool of zone z, best
// first: the entries in the zone, then the others. The caller's key distributes
// callers over equally suitable entries.
func EntriesForCaller(list []fleet.Instance, z fleet.Zone, p fleet.Pool, caller string) []fleet.Instance {
	homes := HomeEntries(list, z, p)
	sameZone := filterEntries(homes, func(in fleet.Instance) bool { return in.Zone == z })
	otherZones := filterEntries(homes, func(in fleet.Instance) bool { return in.Zone != z })
	return append(rankEntries(caller, sameZone, len(sameZone)), rankEntries(caller, otherZones, len(otherZones))...)
}

func filterEntries(list []fleet.Instance, match func(fleet.Instance) bool) []fleet.Instance {
	var out []fleet.Instance
	for _, in := range list {
		if in.Role == fleet.RoleEntry && match(in) {
			out = append(out, in)
		}
	}
	return out
}

func rankEntries(key string, list []fleet.Instance, n int) []fleet.Instance {
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
