package crforward

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/citronramp/citronramp/pkg/crcode"
)

// TestReplyToReport guards against several refusals in a row that hide that an earlier attempt may have run.
func TestReplyToReport(t *testing.T) {
	unknown, answer := failureReply(crcode.AnswerLost, ""), &reply{code: crcode.OK, status: 200}
	fold := func(replies ...*reply) (r *reply) {
		for _, next := range replies {
			r = replyToReport(r, next)
		}
		return r
	}
	refused, queued := failureReply(crcode.ServerRefused, ""), failureReply(crcode.Overloaded, "")
	qt.Assert(t, fold(unknown, refused, queued, refused), qt.Equals, unknown)
	qt.Assert(t, fold(refused, unknown, refused), qt.Equals, unknown)
	qt.Assert(t, fold(refused, queued), qt.Equals, queued)
	qt.Assert(t, fold(unknown, refused, answer), qt.Equals, answer)
}
