package crlang

import (
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/citronramp/citronramp/internal/crconfig"
	"github.com/citronramp/citronramp/pkg/crcode"
)

// number reads a whole number from 0 to limit.
func (p *parser) number(what string, limit uint32) (uint32, error) {
	w := p.take()
	n, err := strconv.ParseUint(w.text, 10, 32)
	if err != nil || !digits(w.text) || n > uint64(limit) {
		return 0, fail(crcode.BadValue, w, "%s must be a whole number from 0 to %d, with digits only", what, limit)
	}
	return uint32(n), nil
}

// digits reports whether s is a whole number without a sign and without leading zeros.
func digits(s string) bool {
	return s != "" && strings.Trim(s, "0123456789") == "" && (s[0] != '0' || s == "0")
}

var units = []struct {
	name string
	size time.Duration
}{{"h", time.Hour}, {"ms", time.Millisecond}, {"m", time.Minute}, {"s", time.Second}}

// duration reads a whole number with a unit, from 1ms to limit.
func (p *parser) duration(what string, limit time.Duration) (time.Duration, error) {
	w := p.take()
	bad := fail(crcode.BadValue, w, "%s must be a whole number with a unit, ms, s, m or h, from 1ms to %s; for example 800ms or 5s", what, formatDuration(limit))
	if strings.Contains(w.text, ".") {
		bad = fail(crcode.BadValue, w, "%s may not have a decimal point; write a smaller unit, for example 1500ms", what)
	}
	end := strings.TrimLeft(w.text, "0123456789")
	count := strings.TrimSuffix(w.text, end)
	for _, u := range units {
		if u.name != end || !digits(count) {
			continue
		}
		n, err := strconv.ParseInt(count, 10, 64)
		if err != nil || n < 1 || n > int64(limit/u.size) {
			return 0, bad
		}
		return time.Duration(n) * u.size, nil
	}
	return 0, bad
}

// formatDuration writes a duration in the largest unit that fits without a rest.
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

// time reads a point in time in UTC.
func (p *parser) time() (time.Time, error) {
	w := p.take()
	t, err := time.Parse(time.RFC3339, w.text)
	if err != nil || !strings.HasSuffix(w.text, "Z") || t.Year() < 1970 {
		return time.Time{}, fail(crcode.BadValue, w, "a time must be in UTC as YYYY-MM-DDTHH:MM:SSZ; for example 2026-12-04T03:00:00Z")
	}
	return t, nil
}

// version reads EPOCH.INDEX.
func (p *parser) version() (crconfig.Version, error) {
	w := p.take()
	v, err := crconfig.ParseVersion(w.text)
	return v, at(w, err)
}

// address reads an IP address with a port.
func (p *parser) address() (netip.AddrPort, error) {
	w := p.take()
	a, err := netip.ParseAddrPort(w.text)
	if err != nil || a.Port() == 0 {
		return netip.AddrPort{}, fail(crcode.BadValue, w, "an address must be IP:PORT; for example 127.0.0.1:7101 or [::1]:7101")
	}
	return a, nil
}

// kind reads SERVICE/KIND.
func (p *parser) kind() (service, name string, err error) {
	w := p.take()
	service, name, ok := strings.Cut(w.text, "/")
	if !ok {
		return "", "", fail(crcode.Syntax, w, "a kind is written as SERVICE/KIND; for example ledger/record")
	}
	if err := checkName(word{service, w.column}); err != nil {
		return "", "", err
	}
	return service, name, checkName(word{name, w.column + len(service) + 1})
}

// choice reads one of two words and reports whether it is the first.
func (p *parser) choice(yes, no string) (bool, error) {
	text, err := p.oneOf(crcode.BadValue, yes, no)
	return text == yes, err
}
