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

// Eligible returns the targets that may serve a request, in the order of offers. While
// a new version is being rolled out, requests without an exception may go to targets that
// serve either version, so that no request waits for the rollout. A request of an
// exception goes to targets that serve the exception's version, or to those that serve
// a version that isn't isolated if there are none.
func Eligible(offers []Candidate, w VersionConstraint) []Target {
	if w.Pinned != "" {
		return filterTargets(offers, func(o Candidate) bool {
			return o.Serving == w.Pinned || slices.Contains(o.Loaded, w.Pinned)
		})
	}
	if w.Requested != w.Default {
		if list := filterTargets(offers, func(o Candidate) bool { return o.Serving == w.Requested }); len(list) > 0 {
			return list
		}
	}
	return filterTargets(offers, func(o Candidate) bool {
		return o.Serving != "" && !slices.Contains(w.Isolated, o.Serving)
	})
}

// Near returns the targets that are in zone z, in the same order. targets must be a
// subsequence of the targets in offers.
func Near(targets []Target, offers []Candidate, z fleet.Zone) []Target {
	var out []Target
	i := 0
	for _, o := range offers {
		if i == len(targets) {
			break
		}
		if targets[i].ID != o.ID {
			continue
		}
		if o.Zone == z {
			out = append(out, targets[i])
		}
		i++
	}
	return out
}

func filterTargets(offers []Candidate, include func(Candidate) bool) []Target {
	var out []Target
	for _, o := range offers {
		if include(o) {
			out = append(out, o.Target)
		}
	}
	return out
}
