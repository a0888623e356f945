package crsettings

import (
	"fmt"
	"strings"
)

// flatten adds the values of nested tables to out under dotted keys. A list of tables stays one value.
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

// keyLines maps each dotted key and each table to the line of its first occurrence. Tables of a list are also numbered from 1,
// as in "control.members[2].inner".
func keyLines(text string) map[string]int {
	lines := make(map[string]int)
	record := func(key string, n int) {
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
			record(table, i+1)
			if strings.HasPrefix(line, "[[") {
				entries[table]++
				table = fmt.Sprintf("%s[%d]", table, entries[table])
				record(table, i+1)
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
		record(key, i+1)
	}
	return lines
}
