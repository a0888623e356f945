package crlang

import (
	"slices"
	"strconv"
	"strings"

	"github.com/citronramp/citronramp/internal/crconfig"
	"github.com/citronramp/citronramp/pkg/crcode"
)

// word is one word of a command with the column of its first character, starting at 1.
type word struct {
	text   string
	column int
}

// parser parses the words of one line, which contains only ASCII characters.
type parser struct {
	words []word
	next  int // index of the next word
	end   int // column after the last word
}

func newParser(line string) *parser {
	p := &parser{end: 1}
	for i := 0; i < len(line); {
		if line[i] == ' ' {
			i++
			continue
		}
		n := strings.IndexByte(line[i:], ' ')
		if n < 0 {
			n = len(line) - i
		}
		p.words = append(p.words, word{line[i : i+n], i + 1})
		i += n
		p.end = i + 1
	}
	return p
}

// peek returns the next word without consuming it. At the end of the line the text of the word is empty.
func (p *parser) peek() word {
	if p.next < len(p.words) {
		return p.words[p.next]
	}
	return word{"", p.end}
}

// advance consumes the next word and returns it.
func (p *parser) advance() word {
	w := p.peek()
	if w.text != "" {
		p.next++
	}
	return w
}

// errorAt returns an error that names the column of the word.
func errorAt(c crcode.Code, w word, format string, args ...any) error {
	return crcode.New(c, "column "+strconv.Itoa(w.column)+": "+format, args...)
}

// oneOf parses one of the allowed words; any other word gives an error with code c.
func (p *parser) oneOf(c crcode.Code, allowed ...string) (string, error) {
	w := p.advance()
	if slices.Contains(allowed, w.text) {
		return w.text, nil
	}
	return "", unexpectedWord(c, w, allowed)
}

// unexpectedWord returns the error for a word that is none of the allowed ones.
func unexpectedWord(c crcode.Code, w word, allowed []string) error {
	list := strings.Join(allowed, ", ")
	if w.text == "" {
		return errorAt(c, w, "the command ends too early; write one of: %s", list)
	}
	if lower := strings.ToLower(w.text); slices.Contains(allowed, lower) {
		return errorAt(c, w, "%q has capital letters; write %s", w.text, lower)
	}
	return errorAt(c, w, "%q is not known here; write one of: %s", w.text, list)
}

// name parses a name. Errors name the object that it belongs to by what.
func (p *parser) name(what string) (string, error) {
	w := p.advance()
	if w.text == "" {
		return "", errorAt(crcode.Syntax, w, "the name of the %s is missing; write 1 to %d of a-z, 0-9 and hyphen", what, crconfig.MaxNameLen)
	}
	return w.text, checkName(w)
}

func checkName(w word) error {
	if lower := strings.ToLower(w.text); lower != w.text && crconfig.CheckName(lower) == nil {
		return errorAt(crcode.BadValue, w, "the name %q has capital letters; write %s", w.text, lower)
	}
	return withColumn(w, crconfig.CheckName(w.text))
}

// withColumn adds the column of the word to the error of a check, which is a *crcode.Error.
func withColumn(w word, err error) error {
	if err == nil {
		return nil
	}
	return errorAt(crcode.Of(err), w, "%s", err.(*crcode.Error).Detail)
}

// option is a keyword followed by a value. An option may occur once in a command.
type option struct {
	keyword string
	parse   func(p *parser) error
}

// options parses the options, in any order, up to the end of the line.
func (p *parser) options(list ...option) error {
	remaining := slices.Clone(list)
	for p.next < len(p.words) {
		w := p.peek()
		matches := func(o option) bool { return o.keyword == w.text }
		i := slices.IndexFunc(remaining, matches)
		switch {
		case i >= 0:
		case slices.ContainsFunc(list, matches):
			return errorAt(crcode.Syntax, w, "%s stands twice; write it once", w.text)
		case len(remaining) == 0:
			return errorAt(crcode.Syntax, w, "%q is too much; the command ends before it", w.text)
		default:
			return unexpectedWord(crcode.Syntax, w, keywordsOf(remaining))
		}
		p.next++
		if err := remaining[i].parse(p); err != nil {
			return err
		}
		remaining = slices.Delete(remaining, i, i+1)
	}
	return nil
}

func keywordsOf(list []option) []string {
	words := make([]string, len(list))
	for i, o := range list {
		words[i] = o.keyword
	}
	return words
}

// changeOptions parses the options of a change: its own ones, and id and if, which every change accepts.
func (p *parser) changeOptions(o *Options, own ...option) error {
	return p.options(append(own,
		option{"id", func(p *parser) error {
			w := p.advance()
			_, err := crconfig.ParseCommandID(w.text)
			o.ID = w.text
			return withColumn(w, err)
		}},
		option{"if", func(p *parser) error {
			v, err := p.version()
			o.ExpectedVersion = &v
			return err
		}},
	)...)
}
