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
	Fields    map[string]any // all fields, those above too
}

// Parse reads a log line. Text before the JSON object, such as the name of a process that
// a collector puts there, is passed over. It returns false for anything else.
func Parse(raw []byte) (Line, bool) {
	at := bytes.IndexByte(raw, '{')
	if at < 0 {
		return Line{}, false
	}
	l := Line{}
	if json.Unmarshal(raw[at:], &l.Fields) != nil {
		return Line{}, false
	}
	l.Instance, l.Subsystem, l.Message = l.text("instance"), l.text("subsystem"), l.text("message")
	t, err := time.Parse(time.RFC3339, l.text("time"))
	if err != nil || l.Message == "" {
		return Line{}, false
	}
	l.Time = t
	return l, true
}

func (l Line) text(field string) string {
	s, _ := l.Fields[field].(string)
	return s
}

func (l Line) number(field string) float64 {
	n, _ := l.Fields[field].(float64)
	return n
}

// ms returns a field that holds a duration in milliseconds.
func (l Line) ms(field string) time.Duration {
	return time.Duration(l.number(field) * float64(time.Millisecond))
}

// is tells whether the line has one of the messages.
func (l Line) is(messages ...string) bool { return slices.Contains(messages, l.Message) }

// concerns tells whether the line is about a target.
func (l Line) concerns(target string) bool {
	return target != "" && (l.text("target") == target || l.Instance == target)
}

// String returns the fields that a reader needs, sorted by name.
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
			continue // it came from JSON
		}
		b.WriteString(" " + name + "=" + strings.Trim(string(v), `"`))
	}
	return b.String()
}
