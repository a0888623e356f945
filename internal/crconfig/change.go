package crconfig

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/citronramp/citronramp/internal/crwire"
	"github.com/citronramp/citronramp/pkg/crcode"
)

// transaction checks and executes one command. It stores nothing before all checks have passed. Methods that check return
// the answer that refuses the command, or nil.
type transaction struct {
	state   *State
	version Version
	cmd     *crwire.ConfigCommand
	// key is the key of the object that the command changes.
	key string
}

// change checks and executes the command. It returns nil if the command was accepted.
func (t *transaction) change() *crwire.ConfigAnswer {
	switch c := t.cmd.Change.(type) {
	case *crwire.ConfigCommand_CreateService:
		return t.createService(c.CreateService)
	case *crwire.ConfigCommand_SetService:
		return t.setService(c.SetService)
	case *crwire.ConfigCommand_DeleteService:
		return t.deleteService(c.DeleteService)
	case *crwire.ConfigCommand_CreateKind:
		return t.createKind(c.CreateKind)
	case *crwire.ConfigCommand_SetKind:
		return t.setKind(c.SetKind)
	case *crwire.ConfigCommand_DeleteKind:
		return t.deleteKind(c.DeleteKind)
	case *crwire.ConfigCommand_DrainServer:
		return t.drainServer(c.DrainServer)
	case *crwire.ConfigCommand_ReturnServer:
		return t.returnServer(c.ReturnServer)
	case *crwire.ConfigCommand_AssignGroups:
		return t.assignGroups(c.AssignGroups)
	case *crwire.ConfigCommand_Convict:
		return t.convict(c.Convict)
	case *crwire.ConfigCommand_LiftConviction:
		return t.liftConviction(c.LiftConviction)
	}
	return refuse(crcode.BadValue, "", "the command has no change that this version of the program knows")
}

// checkVersion refuses the command if it expects another version than that of the object under key. A missing object has
// version 0.0.
func (t *transaction) checkVersion(key string) *crwire.ConfigAnswer {
	t.key = key
	if t.cmd.IfVersion == nil {
		return nil
	}
	var current Version
	if o := t.state.liveObject(key); o != nil {
		current = VersionFromProto(o.entry.Version)
	}
	if current == VersionFromProto(t.cmd.IfVersion) {
		return nil
	}
	return t.conflict(key)
}

// conflict returns a refusal with the current version of the object, its last change and who made it.
func (t *transaction) conflict(key string) *crwire.ConfigAnswer {
	o := t.state.objects[key]
	if o == nil {
		return refuse(crcode.VersionConflict, key, "%s does not exist; read it with show, then decide", key)
	}
	deletion := ""
	if o.entry.Deleted {
		deletion = " and is deleted"
	}
	a := refuse(crcode.VersionConflict, key, "%s has version %s%s; %s changed it with: %s",
		key, VersionFromProto(o.entry.Version), deletion, operatorName(o.changed), o.changed.What)
	a.Current, a.Changed = o.entry.Version, o.changed
	return a
}

func operatorName(c *crwire.ConfigChange) string {
	if c.Operator == "" {
		return "the system"
	}
	return c.Operator
}

// requireExists refuses the command if there is no object under key.
func (t *transaction) requireExists(key string) *crwire.ConfigAnswer {
	if t.state.liveObject(key) == nil {
		return refuse(crcode.NotFound, key, "%s does not exist; check the name with show", key)
	}
	return nil
}

// requireAbsent refuses the command if there is an object under key.
func (t *transaction) requireAbsent(key string) *crwire.ConfigAnswer {
	if o := t.state.liveObject(key); o != nil {
		a := refuse(crcode.Exists, key, "%s exists already; use set to change it", key)
		a.Current, a.Changed = o.entry.Version, o.changed
		return a
	}
	return nil
}

// checkLimit refuses the command if the count has reached the limit.
func (t *transaction) checkLimit(key string, count, limit int, what string) *crwire.ConfigAnswer {
	if count < limit {
		return nil
	}
	return refuse(crcode.LimitReached, key, "there are %d %s, the largest number allowed; remove one first", limit, what)
}

// firstRefusal runs the checks in order until one refuses, and returns its answer.
func firstRefusal(checks ...func() *crwire.ConfigAnswer) *crwire.ConfigAnswer {
	for _, check := range checks {
		if refused := check(); refused != nil {
			return refused
		}
	}
	return nil
}

// checkNames refuses the command if one of the names is malformed.
func checkNames(list ...string) *crwire.ConfigAnswer {
	for _, name := range list {
		if err := CheckName(name); err != nil {
			return refusal(err)
		}
	}
	return nil
}

// refusal converts the error of a check into an answer.
func refusal(err error) *crwire.ConfigAnswer {
	a := &crwire.ConfigAnswer{Code: uint32(crcode.Of(err))}
	if e, ok := err.(*crcode.Error); ok {
		a.Detail = e.Detail
	}
	return a
}

// put stores value under key at the version of the transaction.
func (t *transaction) put(key, service string, value proto.Message) *crwire.ConfigAnswer {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(value)
	if err != nil {
		return refuse(crcode.Internal, key, "%s cannot be encoded", key)
	}
	t.save(&crwire.ConfigEntry{Key: key, Service: service, Value: data})
	return nil
}

// remove replaces the object under key by a tombstone.
func (t *transaction) remove(key string) {
	t.save(&crwire.ConfigEntry{Key: key, Service: t.state.objects[key].entry.Service, Deleted: true})
}

func (t *transaction) save(e *crwire.ConfigEntry) {
	e.Version = t.version.Proto()
	t.state.store(&object{
		entry:   e,
		changed: &crwire.ConfigChange{Operator: t.cmd.Operator, What: describe(t.cmd), AtMs: t.cmd.ProposedMs},
	})
}

// describe returns the change in the syntax of the operator language.
func describe(cmd *crwire.ConfigCommand) string {
	switch c := cmd.Change.(type) {
	case *crwire.ConfigCommand_CreateService:
		return "create service " + c.CreateService.Name + ownerText(c.CreateService.Owner)
	case *crwire.ConfigCommand_SetService:
		return "set service " + c.SetService.Name + ownerText(c.SetService.Owner)
	case *crwire.ConfigCommand_DeleteService:
		return "delete service " + c.DeleteService.Name
	case *crwire.ConfigCommand_CreateKind:
		return "create kind " + c.CreateKind.Service + "/" + c.CreateKind.Name + fieldsText(c.CreateKind.Fields)
	case *crwire.ConfigCommand_SetKind:
		return "set kind " + c.SetKind.Service + "/" + c.SetKind.Name + fieldsText(c.SetKind.Fields)
	case *crwire.ConfigCommand_DeleteKind:
		return "delete kind " + c.DeleteKind.Service + "/" + c.DeleteKind.Name
	case *crwire.ConfigCommand_DrainServer:
		return "drain server " + c.DrainServer.Node
	case *crwire.ConfigCommand_ReturnServer:
		return "return server " + c.ReturnServer.Node
	case *crwire.ConfigCommand_AssignGroups:
		return fmt.Sprintf("assign %d keeper groups", len(c.AssignGroups.Groups))
	case *crwire.ConfigCommand_Convict:
		return "convict " + c.Convict.Conviction.GetFingerprint()
	case *crwire.ConfigCommand_LiftConviction:
		return "lift conviction " + c.LiftConviction.Fingerprint
	}
	return ""
}

func ownerText(name string) string {
	if name == "" {
		return ""
	}
	return " owner " + name
}

func fieldsText(f *crwire.KindFields) string {
	if f == nil {
		return ""
	}
	text := ""
	if f.Worth != nil {
		text += fmt.Sprintf(" worth %d", *f.Worth)
	}
	if f.Protected != nil {
		text += " class " + map[bool]string{true: "protected", false: "ordinary"}[*f.Protected]
	}
	if f.Repeatable != nil {
		text += " repeat " + map[bool]string{true: "yes", false: "no"}[*f.Repeatable]
	}
	if f.DeadlineMs != nil {
		text += fmt.Sprintf(" deadline %dms", *f.DeadlineMs)
	}
	if f.Retries != nil {
		text += fmt.Sprintf(" retries %d", *f.Retries)
	}
	return text
}
