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
	// defaultMemoryMB leaves an eighth for heads and bodies: 64 requests with the largest bodies.
	defaultMemoryMB = 1024
	// defaultMaxFDs leaves a connection for each of defaultMaxRequests.
	defaultMaxFDs      = 8192
	minMemoryMB        = 32
	minMaxFDs          = 128
	defaultQueueLength = 400
	defaultQueueTime   = 100 * time.Millisecond
	defaultStopTimeout = 30 * time.Second
)

// minSecretBytes is the minimum length of the shared secret, so that it cannot be guessed.
const minSecretBytes = 16

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// parser reads the keys of one settings file and collects its faults.
type parser struct {
	file   string
	lines  map[string]int
	values map[string]any
	known  map[string]bool
	faults Faults
}

func (p *parser) addFault(key string, code crcode.Code, format string, args ...any) {
	p.faults = append(p.faults, Fault{File: p.file, Line: p.lineOf(key), Key: key, Code: code, Message: fmt.Sprintf(format, args...)})
}

// lineOf returns the line of a key, or of the innermost table that should contain it, or 0.
func (p *parser) lineOf(key string) int {
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

// lookup returns the value of a key and marks the key as known.
func (p *parser) lookup(key string) (any, bool) {
	if p.known == nil {
		p.known = make(map[string]bool)
	}
	p.known[key] = true
	v, ok := p.values[key]
	return v, ok
}

// required returns the value of a key, and adds a fault if the key is missing.
func (p *parser) required(key, allowed string) (any, bool) {
	v, ok := p.lookup(key)
	if !ok {
		p.addFault(key, crcode.SettingsMissingKey, "is missing; allowed is %s", allowed)
	}
	return v, ok
}

func (p *parser) badValue(key string, v any, allowed string) {
	p.addFault(key, crcode.SettingsBadValue, "%s is not allowed; allowed is %s", displayValue(v), allowed)
}

// displayValue returns a value as text for messages, close to its form in the settings file.
func displayValue(v any) string {
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

// checkDistinct adds a fault for each address that equals an earlier one of the list.
func (p *parser) checkDistinct(keys ...string) {
	for i, key := range keys {
		for _, earlier := range keys[:i] {
			if v, ok := p.values[key].(string); ok && v == p.values[earlier] {
				p.addFault(key, crcode.SettingsBadValue, "%s is also the value of %s; allowed is an address of its own", displayValue(v), earlier)
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
		p.badValue(key, v, nameAllowed)
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
		p.badValue(key, v, addressAllowed)
	}
	return s
}

func (p *parser) addresses(key string, mandatory bool) []string {
	const allowed = `a list of IP numbers with ports, as in ["127.0.0.1:7401"]`
	v, ok := p.lookup(key)
	if !ok {
		if mandatory {
			p.addFault(key, crcode.SettingsMissingKey, "is missing; allowed is %s", allowed)
		}
		return nil
	}
	list, isList := v.([]any)
	if !isList || mandatory && len(list) == 0 {
		p.badValue(key, v, allowed)
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
		// The message does not contain the value, because messages are logged.
		p.addFault(key, crcode.SettingsBadValue, "is too short or not a text; allowed is %s", allowed)
	}
	return s
}

func (p *parser) integer(key string, def, low, high int) int {
	v, ok := p.lookup(key)
	if !ok {
		return def
	}
	n, isNumber := v.(int64)
	if !isNumber || n < int64(low) || n > int64(high) {
		p.badValue(key, v, fmt.Sprintf("a whole number from %d to %d", low, high))
		return def
	}
	return int(n)
}

func (p *parser) duration(key string, def, low, high time.Duration) time.Duration {
	v, ok := p.lookup(key)
	if !ok {
		return def
	}
	s, _ := v.(string)
	d, err := time.ParseDuration(s)
	if err != nil || d < low || d > high {
		p.badValue(key, v, fmt.Sprintf("a text with a unit from %q to %q", low, high))
		return def
	}
	return d
}

func (p *parser) choice(key, def string, choices ...string) string {
	v, ok := p.lookup(key)
	if !ok {
		return def
	}
	for _, c := range choices {
		if v == c {
			return c
		}
	}
	p.badValue(key, v, fmt.Sprintf("one of %q", choices))
	return def
}

func (p *parser) boolean(key string) bool {
	v, ok := p.lookup(key)
	if !ok {
		return false
	}
	b, isBool := v.(bool)
	if !isBool {
		p.badValue(key, v, "true or false")
	}
	return b
}

// checkUnknown adds a fault for each key of the file that no field has read.
func (p *parser) checkUnknown() {
	keys := make([]string, 0, len(p.values))
	for k := range p.values {
		if !p.known[k] {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	for _, k := range keys {
		p.addFault(k, crcode.SettingsUnknownKey, "no such key; see docs/operators.md for the list")
	}
}
