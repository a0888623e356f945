package crconfig

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/citronramp/citronramp/internal/crwire"
	"github.com/citronramp/citronramp/pkg/crcode"
)

// transaction is one command while it is checked and executed. Nothing is stored before all checks have passed.
type transaction struct {
	s       *State
	version Version
	cmd     *crwire.ConfigCommand
	key     string
}

// change checks and executes the command; it returns nil when it was accepted.
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

// expect refuses when the object under key does not have the version that the command expects.
func (t *transaction) expect(key string) *crwire.ConfigAnswer {
	t.key = key
	if t.cmd.IfVersion == nil {
		return nil
	}
	var current Version
	if o := t.s.live(key); o != nil {
		current = VersionOf(o.entry.Version)
	}
	if current == VersionOf(t.cmd.IfVersion) {
		return nil
	}
	return t.conflict(key)
}

// conflict returns the answer that names the current version of the object, who changed it and what.
func (t *transaction) conflict(key string) *crwire.ConfigAnswer {
	o := t.s.objects[key]
	if o == nil {
		return refuse(crcode.VersionConflict, key, "%s does not exist; read it with show, then decide", key)
	}
	state := ""
	if o.entry.Deleted {
		state = " and is deleted"
	}
	a := refuse(crcode.VersionConflict, key, "%s has version %s%s; %s changed it with: %s",
		key, VersionOf(o.entry.Version), state, who(o.changed), o.changed.What)
	a.Current, a.Changed = o.entry.Version, o.changed
	return a
}

func who(c *crwire.ConfigChange) string {
	if c.Operator == "" {
		return "the system"
	}
	return c.Operator
}

// must refuses when the object under key is missing.
func (t *transaction) must(key string) *crwire.ConfigAnswer {
	if t.s.live(key) == nil {
		return refuse(crcode.NotFound, key, "%s does not exist; check the name with show", key)
	}
	return nil
}

// mustNot refuses when the object under key exists.
func (t *transaction) mustNot(key string) *crwire.ConfigAnswer {
	if o := t.s.live(key); o != nil {
		a := refuse(crcode.Exists, key, "%s exists already; use set to change it", key)
		a.Current, a.Changed = o.entry.Version, o.changed
		return a
	}
	return nil
}

// room refuses when the count has reached its bound.
func (t *transaction) room(key string, count, limit int, what string) *crwire.ConfigAnswer {
	if count < limit {
		return nil
	}
	return refuse(crcode.LimitReached, key, "there are %d %s, the largest number allowed; remove one first", limit, what)
}

// first returns the first refusal.
func first(checks ...func() *crwire.ConfigAnswer) *crwire.ConfigAnswer {
	for _, check := range checks {
		if no := check(); no != nil {
			return no
		}
	}
	return nil
}

// names refuses when one of the names is malformed.
func names(list ...string) *crwire.ConfigAnswer {
	for _, name := range list {
		if err := CheckName(name); err != nil {
			return refusal(err)
		}
	}
	return nil
}

// refusal turns a check's error into an answer.
func refusal(err error) *crwire.ConfigAnswer {
	a := &crwire.ConfigAnswer{Code: uint32(crcode.Of(err))}
	if e, ok := err.(*crcode.Error); ok {
		a.Detail = e.Detail
	}
	return a
}

// put stores a value under key.
func (t *transaction) put(key, service string, value proto.Message) *crwire.ConfigAnswer {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(value)
	if err != nil {
		return refuse(crcode.Internal, key, "%s cannot be encoded", key)
	}
	t.save(&crwire.ConfigEntry{Key: key, Service: service, Value: data})
	return nil
}

// remove marks the object under key as deleted.
func (t *transaction) remove(key string) {
	t.save(&crwire.ConfigEntry{Key: key, Service: t.s.objects[key].entry.Service, Deleted: true})
}

func (t *transaction) save(e *crwire.ConfigEntry) {
	e.Version = t.version.Wire()
	t.s.store(&object{
		entry:   e,
		changed: &crwire.ConfigChange{Operator: t.cmd.Operator, What: describe(t.cmd), AtMs: t.cmd.ProposedMs},
	})
}

// describe returns the change in the words of the operator language.
func describe(cmd *crwire.ConfigCommand) string {
	switch c := cmd.Change.(type) {
	case *crwire.ConfigCommand_CreateService:
		return "create service " + c.CreateService.Name + owner(c.CreateService.Owner)
	case *crwire.ConfigCommand_SetService:
		return "set service " + c.SetService.Name + owner(c.SetService.Owner)
	case *crwire.ConfigCommand_DeleteService:
		return "delete service " + c.DeleteService.Name
	case *crwire.ConfigCommand_CreateKind:
		return "create kind " + c.CreateKind.Service + "/" + c.CreateKind.Name + fields(c.CreateKind.Fields)
	case *crwire.ConfigCommand_SetKind:
		return "set kind " + c.SetKind.Service + "/" + c.SetKind.Name + fields(c.SetKind.Fields)
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

func owner(name string) string {
	if name == "" {
		return ""
	}
	return " owner " + name
}

func fields(f *crwire.KindFields) string {
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
