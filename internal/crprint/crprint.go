// Package crprint connects the operator language to the configuration: it encodes parsed changes as commands of the
// replicated log, and formats answers as text with aligned columns or as JSON with snake case keys.
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

// Answer is the answer to one operator command. The control instance fills it in; Text and JSON format it.
type Answer interface {
	table() table
}

// Rows is a list that is encoded in JSON as [], never as null, when it is empty.
type Rows[T any] []T

// MarshalJSON encodes the list, a nil list as [].
func (r Rows[T]) MarshalJSON() ([]byte, error) {
	if r == nil {
		return []byte("[]"), nil
	}
	return json.Marshal([]T(r))
}

// table is the text form of an answer: sentences, followed by columns.
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

// tableOf returns a table with a row for each item, or the sentence empty if there are no items.
func tableOf[T any](items Rows[T], empty, header string, row func(T) []string) table {
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

// plural returns the count n with the noun in singular or plural.
func plural(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return number(n) + " " + noun + "s"
}

// verbFor returns the form of "to be" for the count n.
func verbFor(n int) string {
	if n == 1 {
		return "is"
	}
	return "are"
}

func milliseconds(n int64) string { return strconv.FormatInt(n, 10) + "ms" }

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// orHyphen returns s, or a hyphen if s is empty.
func orHyphen(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func utc(t time.Time) string { return t.UTC().Format(time.RFC3339) }

func operatorOrSystem(operator string) string {
	if operator == "" {
		return "the system"
	}
	return operator
}

func version(v crconfig.Version) string { return v.String() }
