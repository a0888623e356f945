package crlang

import (
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/citronramp/citronramp/internal/crconfig"
	"github.com/citronramp/citronramp/pkg/crcode"
)

// number parses a whole number from 0 to limit.
func (p *parser) number(what string, limit uint32) (uint32, error) {
	w := p.advance()
	n, err := strconv.ParseUint(w.text, 10, 32)
	if err != nil || !isWholeNumber(w.text) || n > uint64(limit) {
		return 0, errorAt(crcode.BadValue, w, "%s must be a whole number from 0 to %d, with digits only", what, limit)
	}
	return uint32(n), nil
}

// isWholeNumber reports whether s is a whole number without sign and leading zeros.
func isWholeNumber(s string) bool {
	return s != "" && strings.Trim(s, "0123456789") == "" && (s[0] != '0' || s == "0")
}

var durationUnits = []struct {
	name string
	size time.Duration
}{{"h", time.Hour}, {"ms", time.Millisecond}, {"m", time.Minute}, {"s", time.Second}}

// duration parses a whole number with a unit, from 1ms to limit.
func (p *parser) duration(what string, limit time.Duration) (time.Duration, error) {
	w := p.advance()
	invalid := errorAt(crcode.BadValue, w, "%s must be a whole number with a unit, ms, s, m or h, from 1ms to %s; for example 800ms or 5s", what, formatDuration(limit))
	if strings.Contains(w.text, ".") {
		invalid = errorAt(crcode.BadValue, w, "%s may not have a decimal point; write a smaller unit, for example 1500ms", what)
	}
	unit := strings.TrimLeft(w.text, "0123456789")
	count := strings.TrimSuffix(w.text, unit)
	for _, u := range durationUnits {
		if u.name != unit || !isWholeNumber(count) {
			continue
		}
		n, err := strconv.ParseInt(count, 10, 64)
		if err != nil || n < 1 || n > int64(limit/u.size) {
			return 0, invalid
		}
		return time.Duration(n) * u.size, nil
	}
	return 0, invalid
}

// formatDuration formats a duration in the largest unit of which it is a whole multiple.
func formatDuration(d time.Duration) string {
	switch {
	case d%time.Hour == 0:
		return strconv.FormatInt(int64(d/time.Hour), 10) + "h"
	case d%time.Minute == 0:
		return strconv.FormatInt(int64(d/time.Minute), 10) + "m"
	case d%time.Second == 0:
		return strconv.FormatInt(int64(d/time.Second), 10) + "s"
	}
	return strconv.FormatInt(d.Milliseconds(), 10) + "ms"
}

// time parses a point in time in UTC.
func (p *parser) time() (time.Time, error) {
	w := p.advance()
	t, err := time.Parse(time.RFC3339, w.text)
	if err != nil || !strings.HasSuffix(w.text, "Z") || t.Year() < 1970 {
		return time.Time{}, errorAt(crcode.BadValue, w, "a time must be in UTC as YYYY-MM-DDTHH:MM:SSZ; for example 2026-12-04T03:00:00Z")
	}
	return t, nil
}

// version parses a version written as EPOCH.INDEX.
func (p *parser) version() (crconfig.Version, error) {
	w := p.advance()
	v, err := crconfig.ParseVersion(w.text)
	return v, withColumn(w, err)
}

// address parses an IP address with a port.
func (p *parser) address() (netip.AddrPort, error) {
	w := p.advance()
	a, err := netip.ParseAddrPort(w.text)
	if err != nil || a.Port() == 0 {
		return netip.AddrPort{}, errorAt(crcode.BadValue, w, "an address must be IP:PORT; for example 127.0.0.1:7101 or [::1]:7101")
	}
	return a, nil
}

// kind parses SERVICE/KIND.
func (p *parser) kind() (service, name string, err error) {
	w := p.advance()
	service, name, ok := strings.Cut(w.text, "/")
	if !ok {
		return "", "", errorAt(crcode.Syntax, w, "a kind is written as SERVICE/KIND; for example ledger/record")
	}
	if err := checkName(word{service, w.column}); err != nil {
		return "", "", err
	}
	return service, name, checkName(word{name, w.column + len(service) + 1})
}

// choice parses one of two words and reports whether it is yes, the first one.
func (p *parser) choice(yes, no string) (bool, error) {
	text, err := p.oneOf(crcode.BadValue, yes, no)
	return text == yes, err
}
