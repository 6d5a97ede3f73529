package trace

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"
)

// Line is one log line of a daemon.
type Line struct {
	Time      time.Time
	Instance  string
	Subsystem string
	Message   string
	Fields    map[string]any // all fields, including those above
}

// Parse parses a log line. Text before the JSON object, such as a process name added by a
// log collector, is skipped. Parse returns false if raw is not a log line.
func Parse(raw []byte) (Line, bool) {
	start := bytes.IndexByte(raw, '{')
	if start < 0 {
		return Line{}, false
	}
	l := Line{}
	if json.Unmarshal(raw[start:], &l.Fields) != nil {
		return Line{}, false
	}
	l.Instance, l.Subsystem, l.Message = l.stringField("instance"), l.stringField("subsystem"), l.stringField("message")
	t, err := time.Parse(time.RFC3339, l.stringField("time"))
	if err != nil || l.Message == "" {
		return Line{}, false
	}
	l.Time = t
	return l, true
}

func (l Line) stringField(field string) string {
	s, _ := l.Fields[field].(string)
	return s
}

func (l Line) numberField(field string) float64 {
	n, _ := l.Fields[field].(float64)
	return n
}

// durationField returns a field that contains a duration in milliseconds.
func (l Line) durationField(field string) time.Duration {
	return time.Duration(l.numberField(field) * float64(time.Millisecond))
}

// hasMessage reports whether the line has one of the messages.
func (l Line) hasMessage(messages ...string) bool { return slices.Contains(messages, l.Message) }

// isAbout reports whether the line is about a target.
func (l Line) isAbout(target string) bool {
	return target != "" && (l.stringField("target") == target || l.Instance == target)
}

// String returns the message and the fields that are not shown elsewhere, sorted by name.
func (l Line) String() string {
	var b strings.Builder
	b.WriteString(l.Message)
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		switch name {
		case "time", "instance", "subsystem", "level", "message":
			continue
		}
		v, err := json.Marshal(l.Fields[name])
		if err != nil {
			continue // cannot happen: the value was decoded from JSON
		}
		b.WriteString(" " + name + "=" + strings.Trim(string(v), `"`))
	}
	return b.String()
}
