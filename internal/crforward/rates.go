package crforward

import (
	"cmp"
	"maps"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"github.com/citronramp/citronramp/pkg/crcode"
	"github.com/citronramp/citronramp/pkg/crshed"
)

// ratesHeader carries, beside a call between nodes, what was let in when the client's request was that it belongs to, for services
// other than the call's own. It is sent only while something is turned away.
const ratesHeader = "Citronramp-Rates"

const (
	// rateEntries bounds the services on a call; those that let in least go first.
	rateEntries = 4
	// rateDigits is the precision of a rate; the smallest one is 1/16.
	rateDigits = 3
)

// formatRates writes the rates of a call that are below one, without that of its own service, which is on the hop line.
func formatRates(c *call) string {
	var list []string
	services := slices.Collect(maps.Keys(c.rates))
	slices.SortFunc(services, func(a, b string) int {
		return cmp.Or(cmp.Compare(c.rates.Of(a), c.rates.Of(b)), cmp.Compare(a, b))
	})
	for _, s := range services {
		if s != c.service && c.rates.Of(s) < 1 && len(list) < rateEntries {
			list = append(list, url.QueryEscape(s)+"="+strconv.FormatFloat(c.rates.Of(s), 'f', rateDigits, 64))
		}
	}
	return strings.Join(list, ",")
}

// parseRates adds the rates of a line to those of the call.
func parseRates(line string, c *call) error {
	err := pairs(line, func(service, value string) error {
		v, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return err
		}
		if c.rates == nil {
			c.rates = crshed.Rates{}
		}
		if len(c.rates) <= rateEntries {
			c.rates[service] = v
		}
		return nil
	})
	if err != nil {
		return crcode.New(crcode.MalformedMessage, "a call from another node: %v", err)
	}
	return nil
}
