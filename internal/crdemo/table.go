package crdemo

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/citronramp/citronramp/internal/crnode"
)

// PolicyName returns the name of a policy in the printed tables.
func PolicyName(p crnode.Policy) string {
	switch p {
	case crnode.NoControl:
		return "no control"
	case crnode.FixedLimit:
		return "fixed limit"
	}
	return "citronramp"
}

// WriteKinds prints a table of the results of the requests during the fault, with a row for each kind that callers use and
// each outcome.
func WriteKinds(w io.Writer, s Scenario, outcomes []Outcome) error {
	tw := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	_, _ = fmt.Fprintln(tw, "kind\tclass\tworth\tpolicy\toffered\twhole\trefused\tunknown\tsends")
	for _, k := range s.Kinds {
		if k.Share == 0 {
			continue
		}
		for _, o := range outcomes {
			r := o.Rows[Fault][k.ID()]
			_, _ = fmt.Fprintf(tw, "%s\t%s\t%d\t%s\t%d\t%d\t%d\t%d\t%d\n", k.ID(), k.Class, k.Worth, PolicyName(o.Policy), r.Offered, r.Answered, r.Refused, r.Unknown, r.Sends)
		}
	}
	return tw.Flush()
}

// WriteFigures prints a table of the measurements, with a row for each figure and a column for each outcome.
func WriteFigures(w io.Writer, outcomes []Outcome) error {
	tw := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	row := func(name string, f func(Outcome) string) {
		_, _ = fmt.Fprint(tw, name)
		for _, o := range outcomes {
			_, _ = fmt.Fprint(tw, "\t", f(o))
		}
		_, _ = fmt.Fprintln(tw)
	}
	row("figure", func(o Outcome) string { return PolicyName(o.Policy) })
	row("goodput before the fault, worth/s", func(o Outcome) string { return fmt.Sprintf("%.0f", o.GoodputBefore) })
	row("goodput during the fault, worth/s", func(o Outcome) string { return fmt.Sprintf("%.0f", o.GoodputFault) })
	row("  part of the best possible", func(o Outcome) string { return fmt.Sprintf("%.2f", o.GoodputFault/o.BestGoodput) })
	row("protected requests answered whole", func(o Outcome) string { return fmt.Sprintf("%.3f", o.ProtectedAnswered) })
	row("recovery time", func(o Outcome) string {
		if !o.Recovered {
			return "not in the run"
		}
		return o.Recovery.String()
	})
	row("wasted runs", func(o Outcome) string { return fmt.Sprintf("%.1f%%", 100*o.WastedFraction) })
	row("p99 of whole answers before the fault", func(o Outcome) string { return o.P99.Round(100_000).String() })
	row("double runs", func(o Outcome) string { return fmt.Sprint(o.Violations.Doubles) })
	row("partial or swapped answers", func(o Outcome) string { return fmt.Sprint(o.Violations.Wrong) })
	row("\"not run\" that ran", func(o Outcome) string { return fmt.Sprint(o.Violations.FalseRefusals) })
	row("requests over the retry bound", func(o Outcome) string { return fmt.Sprint(o.Violations.OverBound) })
	return tw.Flush()
}
