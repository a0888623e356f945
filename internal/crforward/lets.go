package crforward

import (
	"maps"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"github.com/citronramp/citronramp/pkg/crcode"
	"github.com/citronramp/citronramp/pkg/crshed"
)

// letsHeader carries, beside a call between nodes, what was let in when the client's request was that it belongs to, for services
// other than the call's own. It is sent only while something is turned away.
const letsHeader = "Citronramp-Lets"

const (
	// letsEntries bounds the services of a call, the ones that let in least.
	letsEntries = 4
	// letsDigits is the precision of a part; the smallest one is 1/16.
	letsDigits = 3
)

func formatLets(c *call) string {
	var list []string
	services := slices.Collect(maps.Keys(c.lets))
	slices.SortFunc(services, func(a, b string) int {
		if c.lets.Of(a) < c.lets.Of(b) {
			return -1
		}
		return 1
	})
	for _, s := range services {
		if s != c.service && c.lets.Of(s) < 1 && len(list) < letsEntries {
			list = append(list, url.QueryEscape(s)+"="+strconv.FormatFloat(c.lets.Of(s), 'f', letsDigits, 64))
		}
	}
	return strings.Join(list, ",")
}

func parseLets(line string, c *call) error {
	err := pairs(line, func(service, value string) error {
		v, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return err
		}
		if c.lets == nil {
			c.lets = crshed.Lets{}
		}
		if len(c.lets) <= letsEntries {
			c.lets[service] = v
		}
		return nil
	})
	if err != nil {
		return crcode.New(crcode.MalformedMessage, "a call from another node: %v", err)
	}
	return nil
}
