// Package tomlcheck decodes TOML strictly and names the line of every problem.
//
// # Usage
//
//	problems := tomlcheck.Decode(body, &settings)
//	lines := tomlcheck.Index(body)
//	problems = append(problems, lines.Problem("listen.peer", "is not host:port"))
//
// The fleet's configuration and the settings of each daemon are read through it,
// so that both report all their problems at once in one form.
package tomlcheck

import (
	"fmt"
	"strings"
)

// Lines maps the path of a key, with the index of each table in an array of
// tables, to the line that it stands on.
type Lines map[string]int

// Index finds the lines of tables and keys. It reads the layout that people
// write; a key inside an inline table is found at the line of the table.
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

func (x Lines) put(key string, line int) {
	if _, ok := x[key]; !ok {
		x[key] = line
	}
}

// Find returns the line of key or of its nearest parent that has one.
func (x Lines) Find(key string) int {
	for key != "" {
		if n, ok := x[key]; ok {
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

// withIndex turns exceptions.scope into exceptions.N.scope for the last table N.
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
