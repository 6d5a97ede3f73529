// Package rank orders the members of a set for a key by rendezvous hashing.
//
// Processes with the same list of members compute the same order without exchanging
// messages. The loss of a member moves only the keys for which it ranked first.
//
// # Usage
//
//	first := rank.Top("chunk/17", members, 1)[0]
package rank

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Score returns the weight of member for key; the highest score ranks first.
func Score(key, member string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(member)
	return mix(d.Sum64())
}

// ScoreNumber returns the weight of a pre-hashed member for a numeric key. It is
// cheaper than Score and used in loops over many chunks.
func ScoreNumber(key, member uint64) uint64 {
	return mix(key*0x9e3779b97f4a7c15 ^ member)
}

// Hash returns the hash of a member's name, for use with ScoreNumber.
func Hash(name string) uint64 {
	return xxhash.Sum64String(name)
}

// Top returns the n highest ranked members for key, highest first. It does not
// modify members.
func Top[T ~string](key string, members []T, n int) []T {
	type scored struct {
		member T
		score  uint64
	}
	all := make([]scored, len(members))
	for i, m := range members {
		all[i] = scored{m, Score(key, string(m))}
	}
	slices.SortFunc(all, func(a, b scored) int {
		if c := cmp.Compare(b.score, a.score); c != 0 {
			return c
		}
		return cmp.Compare(a.member, b.member)
	})
	out := make([]T, 0, min(n, len(all)))
	for _, s := range all[:min(n, len(all))] {
		out = append(out, s.member)
	}
	return out
}

// Position returns the index of self in the order for key, or -1 when self is
// not a member.
func Position[T ~string](key string, members []T, self T) int {
	if !slices.Contains(members, self) {
		return -1
	}
	own, ahead := Score(key, string(self)), 0
	for _, m := range members {
		if s := Score(key, string(m)); s > own || s == own && m < self {
			ahead++
		}
	}
	return ahead
}

// mix is the 64-bit finalizer of MurmurHash3.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}
