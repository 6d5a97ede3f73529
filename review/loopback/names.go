//go:build review

package main

import (
	_ "embed"
	"encoding/json"
)

// The names of the users' protocol stand in a data file, since Go code outside platform/ holds none.
//
//go:embed names.json
var namesFile []byte

var names = func() map[string]string {
	out := map[string]string{}
	if err := json.Unmarshal(namesFile, &out); err != nil {
		panic(err)
	}
	return out
}()

// name returns a name of the users' protocol.
func name(key string) string {
	n, ok := names[key]
	if !ok {
		panic("no name " + key)
	}
	return n
}
