package tomlcheck

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Problem is a reason to reject a document.
type Problem struct {
	Line int    `json:"line"` // first line is 1; 0 if the line is unknown
	Key  string `json:"key"`
	Text string `json:"text"`
}

// String returns the problem as one line of text.
func (p Problem) String() string {
	return fmt.Sprintf("line %d: %s: %s", p.Line, p.Key, p.Text)
}

// Problem returns a problem at the line of key.
func (l Lines) Problem(key, format string, args ...any) Problem {
	return Problem{Line: l.Find(key), Key: key, Text: fmt.Sprintf(format, args...)}
}

// Sort orders problems by line.
func Sort(list []Problem) {
	slices.SortStableFunc(list, func(a, b Problem) int { return cmp.Compare(a.Line, b.Line) })
}

// Decode decodes body into v and returns the problems found; unknown keys are problems.
func Decode(body []byte, v any) []Problem {
	err := toml.NewDecoder(bytes.NewReader(body)).DisallowUnknownFields().Decode(v)
	if err == nil {
		return nil
	}
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		return unknownKeys(strict)
	}
	var dec *toml.DecodeError
	if errors.As(err, &dec) {
		line, _ := dec.Position()
		return []Problem{{Line: line, Key: strings.Join(dec.Key(), "."), Text: dec.Error()}}
	}
	return []Problem{{Key: "document", Text: err.Error()}}
}

func unknownKeys(strict *toml.StrictMissingError) []Problem {
	out := make([]Problem, 0, len(strict.Errors))
	for _, e := range strict.Errors {
		line, _ := e.Position()
		out = append(out, Problem{Line: line, Key: strings.Join(e.Key(), "."), Text: "unknown key"})
	}
	return out
}
