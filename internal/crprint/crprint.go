// Package crprint joins the operator language to the configuration: it turns parsed changes into commands of the
// replicated log, and answers into text with aligned columns or JSON in snake case.
package crprint

import (
	"bytes"
	"encoding/json"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/citronramp/citronramp/internal/crconfig"
)

// Answer is the answer to one operator command; the control daemon fills it, Text and JSON print it.
type Answer interface {
	table() table
}

// Rows is a list whose JSON form is never null.
type Rows[T any] []T

// MarshalJSON returns the list, [] when it is empty.
func (r Rows[T]) MarshalJSON() ([]byte, error) {
	if r == nil {
		return []byte("[]"), nil
	}
	return json.Marshal([]T(r))
}

// table is the text form of an answer: sentences, then columns.
type table struct {
	sentences []string
	header    []string
	rows      [][]string
}

// Text returns the answer as plain text with aligned columns; every line ends with a line feed.
func Text(a Answer) string {
	t := a.table()
	var b strings.Builder
	for _, s := range t.sentences {
		b.WriteString(s + "\n")
	}
	if len(t.rows) == 0 {
		return b.String()
	}
	all := append([][]string{t.header}, t.rows...)
	widths := make([]int, len(t.header))
	for _, row := range all {
		for i, cell := range row {
			widths[i] = max(widths[i], utf8.RuneCountInString(cell))
		}
	}
	for _, row := range all {
		var l strings.Builder
		for i, cell := range row {
			l.WriteString(cell + strings.Repeat(" ", widths[i]-utf8.RuneCountInString(cell)+2))
		}
		b.WriteString(strings.TrimRight(l.String(), " ") + "\n")
	}
	return b.String()
}

// JSON returns the answer as indented JSON that ends with a line feed.
func JSON(a Answer) ([]byte, error) {
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false)
	e.SetIndent("", "  ")
	err := e.Encode(a)
	return b.Bytes(), err
}

// list returns a table, or a sentence when there are no rows.
func list[T any](items Rows[T], empty, header string, row func(T) []string) table {
	if len(items) == 0 {
		return table{sentences: []string{empty}}
	}
	t := table{header: strings.Fields(header)}
	for _, item := range items {
		t.rows = append(t.rows, row(item))
	}
	return t
}

func number[T ~int | ~int64 | ~uint32 | ~uint64](n T) string { return strconv.FormatInt(int64(n), 10) }

// plural returns a count with its noun.
func plural(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return number(n) + " " + noun + "s"
}

// are returns the verb to a count.
func are(n int) string {
	if n == 1 {
		return "is"
	}
	return "are"
}

func milliseconds(n int64) string { return strconv.FormatInt(n, 10) + "ms" }

func yes(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// or returns s, or a hyphen for an empty cell.
func or(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func utc(t time.Time) string { return t.UTC().Format(time.RFC3339) }

func system(operator string) string {
	if operator == "" {
		return "the system"
	}
	return operator
}

func version(v crconfig.Version) string { return v.String() }
