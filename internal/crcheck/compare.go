package crcheck

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/citronramp/citronramp/pkg/crroute"
)

// Difference is an entry that differs between two configurations: what it is, how it changed and, for a changed entry, its
// fields. Keys are never part of it.
type Difference struct {
	Entry  string `json:"entry"`
	Change Change `json:"change"`
	Text   string `json:"text,omitempty"`
}

// Change is how an entry differs.
type Change string

// The changes of an entry.
const (
	Added   Change = "added"
	Removed Change = "removed"
	Changed Change = "changed"
)

// Compare returns the differences of a configuration from the one in force.
func Compare(inForce, next *Configuration) []Difference {
	var out []Difference
	out = append(out, compare("route", inForce.Routes, next.Routes, func(r crroute.Route) string { return r.Name }, routeFields)...)
	out = append(out, compare("service", inForce.Services, next.Services, func(s crroute.Service) string { return s.Name }, serviceFields)...)
	out = append(out, compareOrganisations(inForce.Organisations, next.Organisations)...)
	if text := fieldChanges(limitFields(inForce.Limits), limitFields(next.Limits)); text != "" {
		out = append(out, Difference{"limits", Changed, text})
	}
	return out
}

// field is the name of a field and its value as text.
type field struct{ name, value string }

// compare returns the differences of two lists of entries, sorted by name.
func compare[T any](kind string, old, next []T, name func(T) string, fields func(T) []field) (out []Difference) {
	byName := map[string]T{}
	for _, e := range old {
		byName[name(e)] = e
	}
	for _, e := range next {
		before, ok := byName[name(e)]
		delete(byName, name(e))
		entry := fmt.Sprintf("%s %q", kind, name(e))
		if !ok {
			out = append(out, Difference{Entry: entry, Change: Added})
		} else if text := fieldChanges(fields(before), fields(e)); text != "" {
			out = append(out, Difference{entry, Changed, text})
		}
	}
	for n := range byName {
		out = append(out, Difference{Entry: fmt.Sprintf("%s %q", kind, n), Change: Removed})
	}
	slices.SortFunc(out, func(a, b Difference) int { return cmp.Compare(a.Entry, b.Entry) })
	return out
}

// fieldChanges describes the fields that differ; both lists have the same fields.
func fieldChanges(old, next []field) string {
	var out []string
	for i, f := range next {
		if f.value != old[i].value {
			out = append(out, fmt.Sprintf("%s %s -> %s", f.name, old[i].value, f.value))
		}
	}
	return strings.Join(out, ", ")
}

func routeFields(r crroute.Route) []field {
	shares := make([]string, 0, len(r.Shares))
	for _, s := range r.Shares {
		shares = append(shares, fmt.Sprintf("%s:%d", s.Service, s.Weight))
	}
	return []field{
		{"host", r.Host},
		{"prefix", r.Prefix},
		{"kind", map[crroute.Kind]string{crroute.Repeatable: "repeatable", crroute.Once: "once", crroute.Upload: "upload"}[r.Kind]},
		{"timeout", r.Timeout.String()},
		{"target", r.Target.String()},
		{"priority", fmt.Sprint(r.Priority)},
		{"services", strings.Join(shares, " ")},
		{"attempts", fmt.Sprint(r.MaxAttempts)},
		{"anonymous", fmt.Sprint(r.Anonymous)},
	}
}

func serviceFields(s crroute.Service) []field {
	return []field{{"health path", s.HealthPath}, {"connections", fmt.Sprint(s.MaxConnections)}}
}

func limitFields(l crroute.Limits) []field {
	return []field{
		{"header bytes", fmt.Sprint(l.HeaderBytes)},
		{"body bytes", fmt.Sprint(l.BodyBytes)},
		{"header timeout", l.HeaderTimeout.String()},
		{"idle timeout", l.IdleTimeout.String()},
	}
}

// organisationEntry is an organisation with a description of its keys that contains none of them.
type organisationEntry struct {
	crroute.Organisation
	keys string
}

// sameKeys describes the keys of an organisation that has the same ones in both configurations.
const sameKeys = "as before"

// compareOrganisations compares organisations. Their keys are secrets, so only the numbers of added and removed ones are told.
func compareOrganisations(old, next []crroute.Organisation) []Difference {
	keys := map[string][]string{}
	var before, after []organisationEntry
	for _, o := range old {
		keys[o.Name] = o.Keys
		before = append(before, organisationEntry{o, sameKeys})
	}
	for _, o := range next {
		text := sameKeys
		if added, removed := missing(o.Keys, keys[o.Name]), missing(keys[o.Name], o.Keys); added+removed > 0 {
			text = fmt.Sprintf("%d added and %d removed", added, removed)
		}
		after = append(after, organisationEntry{o, text})
	}
	return compare("organisation", before, after, func(o organisationEntry) string { return o.Name }, organisationFields)
}

func organisationFields(o organisationEntry) []field {
	priority := "that of the route"
	if o.Priority != nil {
		priority = fmt.Sprint(*o.Priority)
	}
	return []field{{"priority", priority}, {"rate", fmt.Sprint(o.Quota.Rate)}, {"burst", fmt.Sprint(o.Quota.Burst)}, {"keys", o.keys}}
}

// missing returns the number of elements of a list that another list lacks.
func missing(list, from []string) (n int) {
	for _, k := range list {
		if !slices.Contains(from, k) {
			n++
		}
	}
	return n
}
