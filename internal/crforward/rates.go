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

// ratesHeader carries, on a call between nodes, the admission rates at the time the client's request was admitted, for
// services other than the call's own. It is sent only while requests are shed.
const ratesHeader = "Citronramp-Rates"

const (
	// maxRateEntries limits the services on a call; those with the lowest rates are included first.
	maxRateEntries = 4
	// rateDigits is the number of decimals of a rate; the smallest rate is 1/16.
	rateDigits = 3
)

// formatRates encodes the rates of a call that are below one, except that of its own service, which is in the hop
// header.
func formatRates(c *call) string {
	var list []string
	services := slices.Collect(maps.Keys(c.rates))
	slices.SortFunc(services, func(a, b string) int {
		return cmp.Or(cmp.Compare(c.rates.Of(a), c.rates.Of(b)), cmp.Compare(a, b))
	})
	for _, s := range services {
		if s != c.service && c.rates.Of(s) < 1 && len(list) < maxRateEntries {
			list = append(list, url.QueryEscape(s)+"="+strconv.FormatFloat(c.rates.Of(s), 'f', rateDigits, 64))
		}
	}
	return strings.Join(list, ",")
}

// parseRates adds the rates of a header to those of the call.
func parseRates(line string, c *call) error {
	err := parsePairs(line, func(service, value string) error {
		v, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return err
		}
		if c.rates == nil {
			c.rates = crshed.Rates{}
		}
		if len(c.rates) <= maxRateEntries {
			c.rates[service] = v
		}
		return nil
	})
	if err != nil {
		return crcode.New(crcode.MalformedMessage, "a call from another node: %v", err)
	}
	return nil
}
