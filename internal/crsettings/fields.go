package crsettings

import (
	"fmt"
	"net/netip"
	"regexp"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/citronramp/citronramp/pkg/crcode"
)

// Defaults of optional keys.
const (
	defaultMaxBodyBytes = 1 << 20
	defaultMaxRequests  = 2000
	defaultQueueLength  = 400
	defaultQueueTime    = 100 * time.Millisecond
	defaultStopTimeout  = 30 * time.Second
)

// minSecretBytes keeps the shared secret out of reach of guessing.
const minSecretBytes = 16

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// parser collects the faults of one file.
type parser struct {
	file   string
	lines  map[string]int
	values map[string]any
	known  map[string]bool
	faults Faults
}

func (p *parser) fault(key string, code crcode.Code, format string, args ...any) {
	p.faults = append(p.faults, Fault{File: p.file, Line: p.line(key), Key: key, Code: code, Message: fmt.Sprintf(format, args...)})
}

// line returns where a key stands, or the table that lacks it.
func (p *parser) line(key string) int {
	for {
		if n, ok := p.lines[key]; ok {
			return n
		}
		i := strings.LastIndexByte(key, '.')
		if i < 0 {
			return 0
		}
		key = key[:i]
	}
}

// take returns the value of a key and notes that the key exists.
func (p *parser) take(key string) (any, bool) {
	if p.known == nil {
		p.known = make(map[string]bool)
	}
	p.known[key] = true
	v, ok := p.values[key]
	return v, ok
}

// required returns the value of a key or records that it is missing.
func (p *parser) required(key, allowed string) (any, bool) {
	v, ok := p.take(key)
	if !ok {
		p.fault(key, crcode.SettingsMissingKey, "is missing; allowed is %s", allowed)
	}
	return v, ok
}

func (p *parser) bad(key string, v any, allowed string) {
	p.fault(key, crcode.SettingsBadValue, "%s is not allowed; allowed is %s", shown(v), allowed)
}

// shown returns a value as it stands in a settings file.
func shown(v any) string {
	switch x := v.(type) {
	case nil:
		return "nothing"
	case string:
		return strconv.Quote(x)
	case []any:
		return fmt.Sprintf("a list of %d", len(x))
	case map[string]any, []map[string]any:
		return "a table"
	}
	return fmt.Sprint(v)
}

// distinct records addresses of one process that are the same.
func (p *parser) distinct(keys ...string) {
	for i, key := range keys {
		for _, before := range keys[:i] {
			if v, ok := p.values[key].(string); ok && v == p.values[before] {
				p.fault(key, crcode.SettingsBadValue, "%s is also the value of %s; allowed is an address of its own", shown(v), before)
			}
		}
	}
}

const nameAllowed = "1 to 63 of a-z, 0-9 and -, with no - at either end"

func (p *parser) name(key string) string {
	v, ok := p.required(key, nameAllowed)
	if !ok {
		return ""
	}
	s, isText := v.(string)
	if !isText || !namePattern.MatchString(s) {
		p.bad(key, v, nameAllowed)
	}
	return s
}

const addressAllowed = `an IP number with a port, as in "127.0.0.1:7101"`

func (p *parser) address(key string) string {
	v, ok := p.required(key, addressAllowed)
	if !ok {
		return ""
	}
	return p.addressValue(key, v)
}

func (p *parser) addressValue(key string, v any) string {
	s, _ := v.(string)
	if a, err := netip.ParseAddrPort(s); err != nil || a.Port() == 0 {
		p.bad(key, v, addressAllowed)
	}
	return s
}

func (p *parser) addresses(key string, need bool) []string {
	const allowed = `a list of IP numbers with ports, as in ["127.0.0.1:7401"]`
	v, ok := p.take(key)
	if !ok {
		if need {
			p.fault(key, crcode.SettingsMissingKey, "is missing; allowed is %s", allowed)
		}
		return nil
	}
	list, isList := v.([]any)
	if !isList || need && len(list) == 0 {
		p.bad(key, v, allowed)
		return nil
	}
	out := make([]string, 0, len(list))
	for _, x := range list {
		out = append(out, p.addressValue(key, x))
	}
	return out
}

func (p *parser) secret(key string) string {
	allowed := fmt.Sprintf("a text of at least %d characters, the same for all processes", minSecretBytes)
	v, ok := p.required(key, allowed)
	if !ok {
		return ""
	}
	s, isText := v.(string)
	if !isText || len(s) < minSecretBytes {
		// The value stays out of the message, since messages are logged.
		p.fault(key, crcode.SettingsBadValue, "is too short or not a text; allowed is %s", allowed)
	}
	return s
}

func (p *parser) number(key string, def, low, high int) int {
	v, ok := p.take(key)
	if !ok {
		return def
	}
	n, isNumber := v.(int64)
	if !isNumber || n < int64(low) || n > int64(high) {
		p.bad(key, v, fmt.Sprintf("a whole number from %d to %d", low, high))
		return def
	}
	return int(n)
}

func (p *parser) duration(key string, def, low, high time.Duration) time.Duration {
	v, ok := p.take(key)
	if !ok {
		return def
	}
	s, _ := v.(string)
	d, err := time.ParseDuration(s)
	if err != nil || d < low || d > high {
		p.bad(key, v, fmt.Sprintf("a text with a unit from %q to %q", low, high))
		return def
	}
	return d
}

func (p *parser) choice(key, def string, choices ...string) string {
	v, ok := p.take(key)
	if !ok {
		return def
	}
	for _, c := range choices {
		if v == c {
			return c
		}
	}
	p.bad(key, v, fmt.Sprintf("one of %q", choices))
	return def
}

func (p *parser) truth(key string) bool {
	v, ok := p.take(key)
	if !ok {
		return false
	}
	b, isBool := v.(bool)
	if !isBool {
		p.bad(key, v, "true or false")
	}
	return b
}

// unknown records every key of the file that no field took.
func (p *parser) unknown() {
	keys := make([]string, 0, len(p.values))
	for k := range p.values {
		if !p.known[k] {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	for _, k := range keys {
		p.fault(k, crcode.SettingsUnknownKey, "no such key; see docs/operators.md for the list")
	}
}
