package crroute_test

import (
	"math"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/citronramp/citronramp/pkg/crcode"
	"github.com/citronramp/citronramp/pkg/crroute"
)

// TestInvalidOrganisations guards against keys that name two organisations, against quotas that are no limits, and against
// errors that show a key.
func TestInvalidOrganisations(t *testing.T) {
	const secret = "s3cret"
	acme := crroute.Organisation{Name: "acme", Keys: []string{secret, "k2"}}
	for name, o := range map[string]crroute.Organisation{
		"no name":            {Keys: []string{"k3"}},
		"name twice":         {Name: "acme", Keys: []string{"k3"}},
		"name with a line":   {Name: "a\r\nX: y", Keys: []string{"k3"}},
		"key of another":     {Name: "other", Keys: []string{"k3", secret}},
		"key twice":          {Name: "other", Keys: []string{"k3", "k3"}},
		"empty key":          {Name: "other", Keys: []string{""}},
		"negative rate":      {Name: "other", Quota: crroute.Quota{Rate: -1}},
		"negative burst":     {Name: "other", Quota: crroute.Quota{Burst: -0.5}},
		"rate is no number":  {Name: "other", Quota: crroute.Quota{Rate: math.NaN()}},
		"burst is no number": {Name: "other", Quota: crroute.Quota{Burst: math.Inf(1)}},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := crroute.New(1, nil, nil, crroute.Limits{}, acme, o)
			qt.Assert(t, crcode.Of(err), qt.Equals, crcode.BadValue)
			qt.Assert(t, strings.Contains(err.Error(), secret) || strings.Contains(err.Error(), "k3"), qt.IsFalse, qt.Commentf("%v", err))
		})
	}
}

// TestOrganisations guards against keys that are changed before they are compared.
func TestOrganisations(t *testing.T) {
	table, err := crroute.New(1, nil, nil, crroute.Limits{}, crroute.Organisation{Name: " Acme ", Keys: []string{"k", "K", " k", "ключ"}}, crroute.Organisation{Name: "acme"})
	qt.Assert(t, err, qt.IsNil)
	for _, k := range []string{"k", "K", " k", "ключ"} {
		qt.Assert(t, table.Organisation(k).Name, qt.Equals, " Acme ")
	}
	for _, k := range []string{"", "k ", "КЛЮЧ"} {
		qt.Assert(t, table.Organisation(k), qt.IsNil)
	}
	qt.Assert(t, table.HasOrganisations(), qt.IsTrue)
	table, err = crroute.New(1, nil, nil, crroute.Limits{})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, table.HasOrganisations(), qt.IsFalse)
}
