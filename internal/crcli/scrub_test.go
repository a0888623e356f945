package crcli_test

import (
	"fmt"
	"regexp"
	"sort"
	"strings"
)

// scrubber replaces values that differ between runs by placeholders. Equal values get the same placeholder, different values
// get different ones.
type scrubber struct {
	dir  string
	seen map[string]string
	next map[string]int
}

func newScrubber(dir string) scrubber {
	return scrubber{dir: dir, seen: map[string]string{}, next: map[string]int{}}
}

var (
	requestID         = regexp.MustCompile(`[a-z0-9-]+-[0-9a-f]{8}\.\d{13}\.[0-9a-f]{16}`)
	commandID         = regexp.MustCompile(`\b1[78]\d{11}-[0-9a-f]+\b`)
	version           = regexp.MustCompile(`(HTTP/)?\b\d+(\.\d+)+\b`)
	incarnation       = regexp.MustCompile(`"prefix":"([a-z0-9-]+)-[0-9a-f]{8}"`)
	spaces            = regexp.MustCompile(`([^\s]) {3,}`)
	fixedReplacements = []struct {
		re   *regexp.Regexp
		with string
	}{
		{regexp.MustCompile(`\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d(\.\d+)?Z`), "[utc]"},
		{regexp.MustCompile(`(?m) \d+(\.\d+)?m?s$`), " [time]"},
		{regexp.MustCompile(`(Waited|lease ends in|last confirmed|after) \d+(\.\d+)?m?s`), "$1 [time]"},
		{regexp.MustCompile(`in term \d+`), "in term [term]"},
		{regexp.MustCompile(`(voter|learner) +(yes|no) +\d+`), "$1  $2  [index]"},
		{regexp.MustCompile(`(Retry-After-Ms: |Retry-After: )\d+`), "$1[time]"},
		{regexp.MustCompile(`"(elapsed_ms|age_ms|lease_ms|contact_ms|term|epoch|index|match)": ?\d+`), `"$1": [number]`},
	}
)

// placeholder returns the placeholder of a value; the same value always gets the same placeholder.
func (c *scrubber) placeholder(sort, value string) string {
	key := sort + " " + value
	if _, ok := c.seen[key]; !ok {
		c.next[sort]++
		c.seen[key] = fmt.Sprintf("[%s %d]", sort, c.next[sort])
	}
	return c.seen[key]
}

func (c *scrubber) scrub(text string, addrs map[string]string) string {
	names := make([]string, 0, len(addrs))
	for n := range addrs {
		names = append(names, n)
	}
	sort.Strings(names)
	for _, n := range names {
		text = strings.ReplaceAll(text, addrs[n], "["+n+"]")
	}
	text = strings.ReplaceAll(text, c.dir+"/", "")
	text = requestID.ReplaceAllStringFunc(text, func(v string) string { return c.placeholder("id", v) })
	text = commandID.ReplaceAllStringFunc(text, func(v string) string { return c.placeholder("command id", v) })
	text = incarnation.ReplaceAllString(text, `"prefix":"$1-[start]"`)
	for _, f := range fixedReplacements {
		text = f.re.ReplaceAllString(text, f.with)
	}
	text = version.ReplaceAllStringFunc(text, func(v string) string {
		if v == "0.0" || v[0] == 'H' || strings.Count(v, ".") != 1 {
			return v
		}
		return c.placeholder("version", v)
	})
	return spaces.ReplaceAllString(text, "$1  ")
}
