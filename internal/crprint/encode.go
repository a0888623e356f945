package crprint

import (
	"time"

	"github.com/citronramp/citronramp/internal/crlang"
	"github.com/citronramp/citronramp/internal/crwire"
)

// Encode encodes a change as a command of the replicated log, proposed by operator at the time now. It returns false for
// changes of control members, which are not part of the configuration.
func Encode(c crlang.Change, operator string, now time.Time) (*crwire.ConfigCommand, bool) {
	o := c.ChangeOptions()
	cmd := &crwire.ConfigCommand{CommandId: o.ID, Operator: operator, ProposedMs: now.UnixMilli()}
	if o.ExpectedVersion != nil {
		cmd.IfVersion = o.ExpectedVersion.Proto()
	}
	switch c := c.(type) {
	case crlang.CreateService:
		cmd.Change = &crwire.ConfigCommand_CreateService{CreateService: &crwire.CreateService{Name: c.Name, Owner: c.Owner}}
	case crlang.SetService:
		cmd.Change = &crwire.ConfigCommand_SetService{SetService: &crwire.SetService{Name: c.Name, Owner: c.Owner}}
	case crlang.DeleteService:
		cmd.Change = &crwire.ConfigCommand_DeleteService{DeleteService: &crwire.DeleteService{Name: c.Name}}
	case crlang.CreateKind:
		cmd.Change = &crwire.ConfigCommand_CreateKind{CreateKind: &crwire.CreateKind{Service: c.Service, Name: c.Name, Fields: encodeFields(c.Fields)}}
	case crlang.SetKind:
		cmd.Change = &crwire.ConfigCommand_SetKind{SetKind: &crwire.SetKind{Service: c.Service, Name: c.Name, Fields: encodeFields(c.Fields)}}
	case crlang.DeleteKind:
		cmd.Change = &crwire.ConfigCommand_DeleteKind{DeleteKind: &crwire.DeleteKind{Service: c.Service, Name: c.Name}}
	case crlang.DrainServer:
		cmd.Change = &crwire.ConfigCommand_DrainServer{DrainServer: &crwire.DrainServer{Node: c.Node}}
	case crlang.ReturnServer:
		cmd.Change = &crwire.ConfigCommand_ReturnServer{ReturnServer: &crwire.ReturnServer{Node: c.Node}}
	case crlang.LiftConviction:
		cmd.Change = &crwire.ConfigCommand_LiftConviction{LiftConviction: &crwire.LiftConviction{Fingerprint: c.Fingerprint}}
	default:
		return nil, false
	}
	return cmd, true
}

func encodeFields(f crlang.Fields) *crwire.KindFields {
	m := &crwire.KindFields{Worth: f.Worth, Protected: f.Protected, Repeatable: f.Repeatable, Retries: f.Retries}
	if f.Deadline != nil {
		ms := f.Deadline.Milliseconds()
		m.DeadlineMs = &ms
	}
	return m
}
