package crlang

import (
	"slices"
	"strconv"
	"strings"

	"github.com/citronramp/citronramp/internal/crconfig"
	"github.com/citronramp/citronramp/pkg/crcode"
)

// word is one word of a command with the column of its first character, counted from 1.
type word struct {
	text   string
	column int
}

// parser reads the words of one line, which has only ASCII characters.
type parser struct {
	words []word
	next  int
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

// peek returns the next word; at the end its text is empty.
func (p *parser) peek() word {
	if p.next < len(p.words) {
		return p.words[p.next]
	}
	return word{"", p.end}
}

func (p *parser) take() word {
	w := p.peek()
	if w.text != "" {
		p.next++
	}
	return w
}

// fail returns an error at the word.
func fail(c crcode.Code, w word, format string, args ...any) error {
	return crcode.New(c, "column "+strconv.Itoa(w.column)+": "+format, args...)
}

// oneOf reads one of the allowed words.
func (p *parser) oneOf(c crcode.Code, allowed ...string) (string, error) {
	w := p.take()
	if slices.Contains(allowed, w.text) {
		return w.text, nil
	}
	return "", unexpected(c, w, allowed)
}

// unexpected returns the error for a word that is none of the allowed ones.
func unexpected(c crcode.Code, w word, allowed []string) error {
	list := strings.Join(allowed, ", ")
	if w.text == "" {
		return fail(c, w, "the command ends too early; write one of: %s", list)
	}
	if lower := strings.ToLower(w.text); slices.Contains(allowed, lower) {
		return fail(c, w, "%q has capital letters; write %s", w.text, lower)
	}
	return fail(c, w, "%q is not known here; write one of: %s", w.text, list)
}

// name reads a name; what says whose it is.
func (p *parser) name(what string) (string, error) {
	w := p.take()
	if w.text == "" {
		return "", fail(crcode.Syntax, w, "the name of the %s is missing; write 1 to %d of a-z, 0-9 and hyphen", what, crconfig.MaxNameLen)
	}
	return w.text, checkName(w)
}

func checkName(w word) error {
	if lower := strings.ToLower(w.text); lower != w.text && crconfig.CheckName(lower) == nil {
		return fail(crcode.BadValue, w, "the name %q has capital letters; write %s", w.text, lower)
	}
	return at(w, crconfig.CheckName(w.text))
}

// at adds the position of the word to an error of a check.
func at(w word, err error) error {
	if err == nil {
		return nil
	}
	return fail(crcode.Of(err), w, "%s", err.(*crcode.Error).Detail)
}

// option is a word with a value after it; it may stand once.
type option struct {
	word string
	read func(p *parser) error
}

// options reads the options in any order until the end of the line.
func (p *parser) options(list ...option) error {
	left := slices.Clone(list)
	for p.next < len(p.words) {
		w := p.peek()
		is := func(o option) bool { return o.word == w.text }
		i := slices.IndexFunc(left, is)
		switch {
		case i >= 0:
		case slices.ContainsFunc(list, is):
			return fail(crcode.Syntax, w, "%s stands twice; write it once", w.text)
		case len(left) == 0:
			return fail(crcode.Syntax, w, "%q is too much; the command ends before it", w.text)
		default:
			return unexpected(crcode.Syntax, w, optionWords(left))
		}
		p.next++
		if err := left[i].read(p); err != nil {
			return err
		}
		left = slices.Delete(left, i, i+1)
	}
	return nil
}

func optionWords(list []option) []string {
	words := make([]string, len(list))
	for i, o := range list {
		words[i] = o.word
	}
	return words
}

// change returns the options of every change, after the command's own.
func (p *parser) change(o *Options, own ...option) error {
	return p.options(append(own,
		option{"id", func(p *parser) error {
			w := p.take()
			_, err := crconfig.ParseCommandID(w.text)
			o.ID = w.text
			return at(w, err)
		}},
		option{"if", func(p *parser) error {
			v, err := p.version()
			o.If = &v
			return err
		}},
	)...)
}
