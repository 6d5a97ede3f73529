package route

import (
	"slices"

	"amaranthturn/core/fleet"
)

// Offer is a target and the versions that it can answer with.
type Offer struct {
	Target
	Address     string
	Zone        fleet.Zone
	Incarnation fleet.Incarnation
	Serving     fleet.Version
	Loaded      []fleet.Version
}

// Want says which versions may answer a request.
type Want struct {
	// Pinned is the version of the tokens already given; nothing else may go on.
	Pinned fleet.Version
	// Asked is the version that the configuration gives to the request.
	Asked fleet.Version
	// Default is the version that the configuration gives to other requests.
	Default fleet.Version
	// Isolated are the versions that only the requests of an exception may use.
	Isolated []fleet.Version
}

// Eligible returns the targets that may answer, in the order of offers. While a
// version spreads, requests without an exception are answered by what each target
// serves, old or new, so that none has to wait. A request of an exception goes to
// the exception's version while any target serves it, and else to the others'.
func Eligible(offers []Offer, w Want) []Target {
	if w.Pinned != "" {
		return pick(offers, func(o Offer) bool {
			return o.Serving == w.Pinned || slices.Contains(o.Loaded, w.Pinned)
		})
	}
	if w.Asked != w.Default {
		if list := pick(offers, func(o Offer) bool { return o.Serving == w.Asked }); len(list) > 0 {
			return list
		}
	}
	return pick(offers, func(o Offer) bool {
		return o.Serving != "" && !slices.Contains(w.Isolated, o.Serving)
	})
}

// Near returns those of the targets that are in a zone, in the same order.
func Near(targets []Target, offers []Offer, z fleet.Zone) []Target {
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

func pick(offers []Offer, ok func(Offer) bool) []Target {
	var out []Target
	for _, o := range offers {
		if ok(o) {
			out = append(out, o.Target)
		}
	}
	return out
}
