package crcontrol

import (
	"context"
	"crypto/subtle"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/citronramp/citronramp/internal/crconfig"
	"github.com/citronramp/citronramp/internal/crintake"
	"github.com/citronramp/citronramp/internal/crlang"
	"github.com/citronramp/citronramp/internal/crprint"
	"github.com/citronramp/citronramp/internal/crwire"
	"github.com/citronramp/citronramp/pkg/crcode"
)

// Names of the methods that control instances call on each other.
const (
	methodCommand  = "control.command"
	methodIdentity = "control.identity"
	methodProgress = "control.progress"
)

const (
	// headerOperator carries the name of the operator who sends a command. It is shown to others but not authenticated.
	headerOperator = "Citronramp-Operator"
	headerCode     = "Citronramp-Code"
	// commandTimeout bounds the time from the arrival of a change to its acceptance.
	commandTimeout = 5 * time.Second
	// maxOperatorLength is the largest length of an operator name.
	maxOperatorLength = 63
)

// operatorHandler returns the HTTP handler of the operator address.
func (c *Control) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/command", c.serveCommand)
	return mux
}

// serveCommand runs one operator command if the caller presents the secret as bearer token.
func (c *Control) serveCommand(w http.ResponseWriter, r *http.Request) {
	json := strings.Contains(r.Header.Get("Accept"), "application/json")
	token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if subtle.ConstantTimeCompare([]byte(token), []byte(c.Settings.Secret)) != 1 {
		c.Counters.Add("commands_forbidden", 1)
		writeResult(w, render(crprint.ErrorOf(crcode.New(crcode.Forbidden, "")), crcode.Forbidden, json), json)
		return
	}
	line, err := io.ReadAll(http.MaxBytesReader(w, r.Body, crlang.MaxLine+1))
	if err != nil {
		writeResult(w, renderError(readError(err), json), json)
		return
	}
	operator := r.Header.Get(headerOperator)
	if len(operator) > maxOperatorLength || crconfig.CheckName(operator) != nil {
		operator = "unnamed"
	}
	writeResult(w, c.runCommand(r.Context(), &crwire.CommandRequest{Line: string(line), Operator: operator, Json: json}, true), json)
}

// readError returns the error for a command that was not read completely and has no effect.
func readError(err error) error {
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return crcode.New(crcode.Syntax, "the command is longer than %d bytes", crlang.MaxLine)
	case errors.Is(err, crintake.ErrRefused):
		return crcode.New(crcode.Overloaded, "the memory for commands is in use")
	}
	return crcode.New(crcode.Syntax, "the command ended early")
}

func writeResult(w http.ResponseWriter, resp *crwire.CommandResponse, json bool) {
	code := crcode.Code(resp.GetCode())
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	if json {
		w.Header().Set("Content-Type", "application/json")
	}
	w.Header().Set(headerCode, strconv.Itoa(int(code)))
	w.WriteHeader(code.HTTPStatus())
	_, _ = io.WriteString(w, resp.GetText())
}

// render formats the answer as text or JSON.
func render(a crprint.Answer, code crcode.Code, json bool) *crwire.CommandResponse {
	if !json {
		return &crwire.CommandResponse{Code: uint32(code), Text: crprint.Text(a)}
	}
	b, err := crprint.JSON(a)
	if err != nil {
		return &crwire.CommandResponse{Code: uint32(crcode.Internal), Text: err.Error() + "\n"}
	}
	return &crwire.CommandResponse{Code: uint32(code), Text: string(b)}
}

func renderError(err error, json bool) *crwire.CommandResponse {
	return render(crprint.ErrorOf(err), crcode.Of(err), json)
}

// runCommand runs a command. If only the leader can answer it and this instance is not the leader, the command is
// forwarded when forward is set, else refused.
func (c *Control) runCommand(ctx context.Context, req *crwire.CommandRequest, forward bool) *crwire.CommandResponse {
	c.Counters.Add("commands", 1)
	cmd, err := crlang.Parse(req.GetLine())
	if err != nil {
		return renderError(err, req.GetJson())
	}
	if needsLeader(cmd) && !c.replica.Status().Leads {
		if forward {
			return c.forward(ctx, req)
		}
		return renderError(crcode.New(crcode.NoLeader, "%s is not in charge", c.Settings.Name), req.GetJson())
	}
	if change, ok := cmd.(crlang.Change); ok {
		return c.executeChange(ctx, change, req)
	}
	a, err := c.query(ctx, cmd)
	if err != nil {
		return renderError(err, req.GetJson())
	}
	code := crcode.OK
	if w, ok := a.(crprint.WaitResult); ok && !w.Done {
		code = crcode.WaitTimeout
	}
	return render(a, code, req.GetJson())
}

// needsLeader reports whether only the leader can answer the command.
func needsLeader(cmd crlang.Command) bool {
	switch x := cmd.(type) {
	case crlang.Help:
		return false
	case crlang.Show:
		return x.Topic != crlang.Leader
	}
	return true
}

// forward sends the command to the leader. It is sent only once: if the answer is lost, a change may have been accepted
// already.
func (c *Control) forward(ctx context.Context, req *crwire.CommandRequest) *crwire.CommandResponse {
	addr := c.replica.Status().LeaderAddress
	if addr == "" || addr == c.Settings.Inner {
		return renderError(crcode.New(crcode.NoLeader, "%s knows of none", c.Settings.Name), req.GetJson())
	}
	s, err := c.endpoint.Session(ctx, addr)
	if err != nil {
		return renderError(crcode.New(crcode.NoLeader, "%s is not reached: %v", addr, err), req.GetJson())
	}
	resp, err := crwire.Call[crwire.CommandResponse](ctx, s, methodCommand, req)
	if err != nil {
		return renderError(crcode.New(crcode.CommandUnknown, "the answer of %s was lost: %v", addr, err), req.GetJson())
	}
	return resp
}

func (c *Control) handleCommand(ctx context.Context, _ *crwire.Session, req *crwire.CommandRequest) (*crwire.CommandResponse, error) {
	return c.runCommand(ctx, req, false), nil
}

// executeChange proposes a change of the configuration, or changes the members of the consensus log.
func (c *Control) executeChange(ctx context.Context, change crlang.Change, req *crwire.CommandRequest) *crwire.CommandResponse {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	cmd, ok := crprint.Encode(change, req.GetOperator(), time.Now())
	if !ok {
		a, err := c.changeMembers(ctx, change)
		if err != nil {
			return renderError(err, req.GetJson())
		}
		return render(a, crcode.OK, req.GetJson())
	}
	answer, err := c.propose(ctx, cmd)
	if err != nil {
		return renderError(err, req.GetJson())
	}
	code := crcode.OK
	if err := crconfig.AnswerError(answer); err != nil {
		c.Counters.Add("changes_refused", 1)
		code = crcode.Of(err)
	} else {
		c.Counters.Add("changes_accepted", 1)
	}
	return render(crprint.ResultOf(answer), code, req.GetJson())
}
