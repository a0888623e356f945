package crsettings

import (
	"fmt"
	"strings"
)

// flatten turns nested tables into dotted keys; lists of tables keep their value.
func flatten(prefix string, tree, out map[string]any) map[string]any {
	for k, v := range tree {
		key := k
		if prefix != "" {
			key = prefix + "." + k
		}
		if t, ok := v.(map[string]any); ok {
			flatten(key, t, out)
			continue
		}
		out[key] = v
	}
	return out
}

// keyLines maps each dotted key and each table to the line where it first stands; the tables of a list are also counted
// from 1, as in "control.members[2].inner".
func keyLines(text string) map[string]int {
	lines := make(map[string]int)
	note := func(key string, n int) {
		if _, ok := lines[key]; !ok {
			lines[key] = n
		}
	}
	table := ""
	entries := make(map[string]int)
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") {
			table = strings.Trim(strings.SplitN(line, "#", 2)[0], "[] \t")
			note(table, i+1)
			if strings.HasPrefix(line, "[[") {
				entries[table]++
				table = fmt.Sprintf("%s[%d]", table, entries[table])
				note(table, i+1)
			}
			continue
		}
		name, _, ok := strings.Cut(line, "=")
		if !ok || strings.HasPrefix(line, "#") {
			continue
		}
		key := strings.Trim(name, " \t\"'")
		if table != "" {
			key = table + "." + key
		}
		note(key, i+1)
	}
	return lines
}
