package picker

import (
	"slices"

	"amaranthturn/core/fleet"
)

// Candidate describes a target and the versions that it can serve.
type Candidate struct {
	Target
	Address     string
	Zone        fleet.Zone
	Incarnation fleet.Incarnation
	Serving     fleet.Version
	Loaded      []fleet.Version
}

// VersionConstraint describes which versions may serve a request.
type VersionConstraint struct {
	// Pinned is the version of the tokens already sent to the caller. Only this version
	// may continue the response.
	Pinned fleet.Version
	// Requested is the version that the configuration assigns to the request.
	Requested fleet.Version
	// Default is the version that the configuration assigns to requests without an exception.
	Default fleet.Version
	// Isolated lists the versions that are reserved for the requests of an exception.
	Isolated []fleet.Version
}

// Eligible returns the targets that may serve a request, in the order of candidates. While
// a new version is being rolled out, requests without an exception may go to targets that
// serve either version, so that no request waits for the rollout. A request of an
// exception goes to targets that serve the exception's version, or to those that serve
// a version that isn't isolated if there are none.
func Eligible(candidates []Candidate, versions VersionConstraint) []Target {
	if versions.Pinned != "" {
		return filterTargets(candidates, func(c Candidate) bool {
			return c.Serving == versions.Pinned || slices.Contains(c.Loaded, versions.Pinned)
		})
	}
	if versions.Requested != versions.Default {
		if list := filterTargets(candidates, func(c Candidate) bool { return c.Serving == versions.Requested }); len(list) > 0 {
			return list
		}
	}
	return filterTargets(candidates, func(c Candidate) bool {
		return c.Serving != "" && !slices.Contains(versions.Isolated, c.Serving)
	})
}

// InZone returns the targets that are in zone z, in the same order. targets must be a
// subsequence of the targets in candidates.
func InZone(targets []Target, candidates []Candidate, z fleet.Zone) []Target {
	var out []Target
	i := 0
	for _, c := range candidates {
		if i == len(targets) {
			break
		}
		if targets[i].ID != c.ID {
			continue
		}
		if c.Zone == z {
			out = append(out, targets[i])
		}
		i++
	}
	return out
}

func filterTargets(candidates []Candidate, include func(Candidate) bool) []Target {
	var out []Target
	for _, c := range candidates {
		if include(c) {
			out = append(out, c.Target)
		}
	}
	return out
}
