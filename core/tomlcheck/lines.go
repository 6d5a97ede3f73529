// Package tomlcheck decodes TOML strictly and reports the line of every problem.
//
// # Usage
//
//	problems := tomlcheck.Decode(body, &settings)
//	lines := tomlcheck.Index(body)
//	problems = append(problems, lines.Problem("listen.peer", "is not host:port"))
//
// The fleet's configuration and the settings of each daemon are decoded with it, so
// both report all problems at once and in the same form.
package tomlcheck

import (
	"fmt"
	"strings"
)

// Lines maps the path of a key to its line. Paths contain the index of a table in an
// array of tables.
type Lines map[string]int

// Index returns the lines of tables and keys. It expects one key or table header per
// line, as in hand-written files; keys inside an inline table have the line of the table.
func Index(body []byte) Lines {
	idx := Lines{}
	counts := map[string]int{}
	table := ""
	for i, line := range strings.Split(string(body), "\n") {
		line = strings.TrimSpace(line)
		switch {
		case strings.HasPrefix(line, "[["):
			name := strings.TrimSpace(strings.Trim(cutComment(line), "[] \t"))
			n := counts[name]
			counts[name] = n + 1
			table = fmt.Sprintf("%s.%d", name, n)
			idx.put(table, i+1)
		case strings.HasPrefix(line, "["):
			name := strings.TrimSpace(strings.Trim(cutComment(line), "[] \t"))
			table = withIndex(name, counts)
			idx.put(table, i+1)
		default:
			key, _, ok := strings.Cut(line, "=")
			if ok && !strings.HasPrefix(line, "#") {
				idx.put(joinKey(table, strings.TrimSpace(key)), i+1)
			}
		}
	}
	return idx
}

func (l Lines) put(key string, line int) {
	if _, ok := l[key]; !ok {
		l[key] = line
	}
}

// Find returns the line of key or of its nearest indexed parent, or 0 if there is none.
func (l Lines) Find(key string) int {
	for key != "" {
		if n, ok := l[key]; ok {
			return n
		}
		cut := strings.LastIndexByte(key, '.')
		if cut < 0 {
			return 0
		}
		key = key[:cut]
	}
	return 0
}

// withIndex inserts the index of the last table of an array into the name of a subtable:
// exceptions.scope becomes exceptions.N.scope.
func withIndex(name string, counts map[string]int) string {
	head, rest, ok := strings.Cut(name, ".")
	if n := counts[head]; ok && n > 0 {
		return fmt.Sprintf("%s.%d.%s", head, n-1, rest)
	}
	return name
}

func joinKey(table, key string) string {
	if table == "" {
		return key
	}
	return table + "." + key
}

func cutComment(line string) string {
	line, _, _ = strings.Cut(line, "#")
	return strings.TrimSpace(line)
}
