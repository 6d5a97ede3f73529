package configsync

import "bytes"

// Delta rebuilds a body from an earlier one: it replaces the part between a common
// prefix and a common suffix. Most configuration changes affect a single position.
type Delta struct {
	Prefix int // bytes
	Suffix int // bytes
	Middle []byte
}

// Diff returns the delta from base to body.
func Diff(base, body []byte) Delta {
	n := min(len(base), len(body))
	prefix := 0
	for prefix < n && base[prefix] == body[prefix] {
		prefix++
	}
	suffix := 0
	for suffix < n-prefix && base[len(base)-1-suffix] == body[len(body)-1-suffix] {
		suffix++
	}
	return Delta{Prefix: prefix, Suffix: suffix, Middle: bytes.Clone(body[prefix : len(body)-suffix])}
}

// Apply rebuilds the body, or returns false if the prefix and the suffix exceed the
// base.
func (d Delta) Apply(base []byte) ([]byte, bool) {
	if d.Prefix < 0 || d.Suffix < 0 || d.Prefix > len(base) || d.Suffix > len(base)-d.Prefix {
		return nil, false
	}
	out := make([]byte, 0, d.Prefix+len(d.Middle)+d.Suffix)
	out = append(out, base[:d.Prefix]...)
	out = append(out, d.Middle...)
	return append(out, base[len(base)-d.Suffix:]...), true
}
