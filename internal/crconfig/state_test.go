package crconfig_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/citronramp/citronramp/internal/crconfig"
	"github.com/citronramp/citronramp/internal/crwire"
	"github.com/citronramp/citronramp/pkg/crcode"
)

// now is the time at which commands are proposed, in Unix milliseconds.
const now = int64(1764817200000)

// replica applies commands to a State as a consensus log would.
type replica struct {
	*crconfig.State
	index uint64
}

func newReplica() *replica { return &replica{State: crconfig.NewState()} }

func (r *replica) apply(tb testing.TB, cmd *crwire.ConfigCommand) *crwire.ConfigAnswer {
	data, err := proto.Marshal(cmd)
	qt.Assert(tb, err, qt.IsNil)
	r.index++
	return r.Apply(r.index, 1, data).(*crwire.ConfigAnswer)
}

// mustApply applies a command and fails the test if it is refused.
func (r *replica) mustApply(tb testing.TB, cmd *crwire.ConfigCommand) *crwire.ConfigAnswer {
	a := r.apply(tb, cmd)
	qt.Assert(tb, crconfig.AnswerError(a), qt.IsNil)
	return a
}

// command wraps a change in a command.
func command(change any) *crwire.ConfigCommand {
	c := &crwire.ConfigCommand{Operator: "amina", ProposedMs: now}
	switch m := change.(type) {
	case *crwire.CreateService:
		c.Change = &crwire.ConfigCommand_CreateService{CreateService: m}
	case *crwire.DeleteService:
		c.Change = &crwire.ConfigCommand_DeleteService{DeleteService: m}
	case *crwire.CreateKind:
		c.Change = &crwire.ConfigCommand_CreateKind{CreateKind: m}
	case *crwire.SetKind:
		c.Change = &crwire.ConfigCommand_SetKind{SetKind: m}
	case *crwire.DeleteKind:
		c.Change = &crwire.ConfigCommand_DeleteKind{DeleteKind: m}
	case *crwire.DrainServer:
		c.Change = &crwire.ConfigCommand_DrainServer{DrainServer: m}
	case *crwire.ReturnServer:
		c.Change = &crwire.ConfigCommand_ReturnServer{ReturnServer: m}
	case *crwire.AssignGroups:
		c.Change = &crwire.ConfigCommand_AssignGroups{AssignGroups: m}
	case *crwire.Convict:
		c.Change = &crwire.ConfigCommand_Convict{Convict: m}
	}
	return c
}

func createService(name string) *crwire.ConfigCommand {
	return command(&crwire.CreateService{Name: name})
}

func setWorth(n uint32) *crwire.ConfigCommand {
	return command(&crwire.SetKind{Service: "ledger", Name: "record", Fields: &crwire.KindFields{Worth: &n}})
}

// newLedgerReplica returns a replica with the kind ledger/record.
func newLedgerReplica(tb testing.TB) *replica {
	r := newReplica()
	r.mustApply(tb, createService("ledger"))
	r.mustApply(tb, command(&crwire.CreateKind{Service: "ledger", Name: "record"}))
	return r
}

// Guards against two concurrent commands with the same expected version that are both accepted, and against a refusal
// without the version, operator and text of the accepted change.
func TestEqualExpectedVersions(t *testing.T) {
	c := qt.New(t)
	r := newLedgerReplica(t)
	version := r.Object("kind/ledger/record").Entry.Version
	first, second := setWorth(7), setWorth(8)
	first.IfVersion, second.IfVersion = version, version
	second.Operator = "boris"
	accepted := r.mustApply(t, first)
	refused := r.apply(t, second)
	c.Assert(crcode.Code(refused.Code), qt.Equals, crcode.VersionConflict)
	c.Assert(crconfig.VersionFromProto(refused.Current), qt.Equals, crconfig.VersionFromProto(accepted.Version))
	c.Assert(refused.Changed.Operator, qt.Equals, "amina")
	c.Assert(refused.Changed.What, qt.Equals, "set kind ledger/record worth 7")
	c.Assert(r.Version(), qt.Equals, crconfig.VersionFromProto(accepted.Version))
}

// Guards against a set with an expected version that recreates an object deleted before, or whose refusal does not show
// the deletion.
func TestConflictWithDeletion(t *testing.T) {
	c := qt.New(t)
	r := newLedgerReplica(t)
	set := setWorth(7)
	set.IfVersion = r.Object("kind/ledger/record").Entry.Version
	r.mustApply(t, command(&crwire.DeleteKind{Service: "ledger", Name: "record"}))
	refused := r.apply(t, set)
	c.Assert(crcode.Code(refused.Code), qt.Equals, crcode.VersionConflict)
	c.Assert(refused.Changed.What, qt.Equals, "delete kind ledger/record")
}

// Guards against a resent command that is executed twice, also on a replica restored from a snapshot.
func TestResendGetsFirstAnswer(t *testing.T) {
	c := qt.New(t)
	r := newLedgerReplica(t)
	cmd := setWorth(7)
	cmd.CommandId = crconfig.CommandID(time.UnixMilli(now), 1)
	first := r.mustApply(t, cmd)
	r.mustApply(t, setWorth(9))
	data, err := r.Snapshot()
	c.Assert(err, qt.IsNil)
	other := &replica{State: crconfig.NewState(), index: r.index}
	c.Assert(other.Restore(data), qt.IsNil)
	for _, r := range []*replica{r, other} {
		again := proto.Clone(cmd).(*crwire.ConfigCommand)
		again.ProposedMs += 5000
		answer := r.mustApply(t, again)
		c.Assert(answer.Replayed, qt.IsTrue)
		answer.Replayed = false
		c.Assert(proto.Equal(answer, first), qt.IsTrue)
		changed := setWorth(8)
		changed.CommandId = cmd.CommandId
		c.Assert(crcode.Code(r.apply(t, changed).Code), qt.Equals, crcode.CommandIDReused)
		k := new(crwire.KindConfig)
		c.Assert(proto.Unmarshal(r.Object("kind/ledger/record").Entry.Value, k), qt.IsNil)
		c.Assert(k.Worth, qt.Equals, uint32(9))
	}
}

// Guards against a resent command that is executed again after its id was evicted, and against ids with a creation time
// in the future, which would raise the fence over valid ids.
func TestForgottenIDIsRefused(t *testing.T) {
	c := qt.New(t)
	r := newLedgerReplica(t)
	for i := int64(0); i <= crconfig.MaxCommandIDs; i++ {
		cmd := setWorth(uint32(i))
		cmd.CommandId, cmd.ProposedMs = crconfig.CommandID(time.UnixMilli(now+i), 1), now+i
		r.mustApply(t, cmd)
	}
	cmd := setWorth(0)
	cmd.CommandId = crconfig.CommandID(time.UnixMilli(now), 1)
	c.Assert(crcode.Code(r.apply(t, cmd).Code), qt.Equals, crcode.CommandIDTooOld)
	kept := setWorth(1)
	kept.CommandId = crconfig.CommandID(time.UnixMilli(now+1), 1)
	c.Assert(r.mustApply(t, kept).Replayed, qt.IsTrue)
	ahead := setWorth(5)
	ahead.CommandId = crconfig.CommandID(time.UnixMilli(now+60001), 2)
	c.Assert(crcode.Code(r.apply(t, ahead).Code), qt.Equals, crcode.BadValue)
	data, err := r.Snapshot()
	c.Assert(err, qt.IsNil)
	c.Assert(r.Restore(data), qt.IsNil)
	c.Assert(crcode.Code(r.apply(t, cmd).Code), qt.Equals, crcode.CommandIDTooOld)
}

// Guards against accepted changes that leave kinds without their service, exceed a limit or set a bad value.
func TestRefusals(t *testing.T) {
	c := qt.New(t)
	r := newLedgerReplica(t)
	for i := 1; i < crconfig.MaxKinds; i++ {
		r.mustApply(t, command(&crwire.CreateKind{Service: "ledger", Name: fmt.Sprint("k", i)}))
	}
	big := uint32(crconfig.MaxWorth + 1)
	before := r.Version()
	for _, test := range []struct {
		change any
		code   crcode.Code
	}{
		{&crwire.DeleteService{Name: "ledger"}, crcode.HasKinds},
		{&crwire.DeleteService{Name: "photo"}, crcode.NotFound},
		{&crwire.CreateService{Name: "ledger"}, crcode.Exists},
		{&crwire.CreateService{Name: "Ledger"}, crcode.BadValue},
		{&crwire.CreateKind{Service: "photo", Name: "view"}, crcode.NotFound},
		{&crwire.CreateKind{Service: "ledger", Name: "more"}, crcode.LimitReached},
		{&crwire.SetKind{Service: "ledger", Name: "record", Fields: &crwire.KindFields{Worth: &big}}, crcode.BadValue},
		{&crwire.ReturnServer{Node: "n1"}, crcode.NotFound},
		{&crwire.AssignGroups{Groups: []*crwire.KeeperGroup{keeperGroup(1, 2, nil, "n1")}}, crcode.VersionConflict},
		{&crwire.AssignGroups{Groups: []*crwire.KeeperGroup{keeperGroup(1, 1, nil, "n1"), keeperGroup(1, 1, nil, "n2")}}, crcode.BadValue},
		{&crwire.Convict{}, crcode.BadValue},
		{nil, crcode.BadValue},
	} {
		c.Check(crcode.Code(r.apply(t, command(test.change)).Code), qt.Equals, test.code, qt.Commentf("%v", test.change))
	}
	c.Assert(r.Version(), qt.Equals, before)
}

func keeperMembers(nodes ...string) []*crwire.KeeperMember {
	var list []*crwire.KeeperMember
	for _, n := range nodes {
		list = append(list, &crwire.KeeperMember{Node: n, Incarnation: "5f3a", Address: "127.0.0.1:7000", Domain: "nyanda-a"})
	}
	return list
}

func keeperGroup(n uint32, epoch uint64, previous []string, nodes ...string) *crwire.KeeperGroup {
	return &crwire.KeeperGroup{Number: n, GroupEpoch: epoch, Members: keeperMembers(nodes...), Previous: keeperMembers(previous...)}
}

// Guards against two assigners that write the same group epoch, and against a batch that is stored only in part.
func TestGroupEpochRisesByOne(t *testing.T) {
	c := qt.New(t)
	r := newReplica()
	assign := func(g ...*crwire.KeeperGroup) crcode.Code {
		return crcode.Code(r.apply(t, command(&crwire.AssignGroups{Groups: g})).Code)
	}
	c.Assert(assign(keeperGroup(0, 1, nil, "n1", "n2", "n3"), keeperGroup(1, 1, nil, "n1")), qt.Equals, crcode.OK)
	old := []string{"n1", "n2", "n3"}
	c.Assert(assign(keeperGroup(0, 2, old, "n1", "n2", "n4")), qt.Equals, crcode.OK)
	c.Assert(assign(keeperGroup(1, 2, []string{"n1"}, "n5"), keeperGroup(0, 2, old, "n1", "n2", "n5")), qt.Equals, crcode.VersionConflict)
	g := new(crwire.KeeperGroup)
	c.Assert(proto.Unmarshal(r.Object("group/1").Entry.Value, g), qt.IsNil)
	c.Assert(g.GroupEpoch, qt.Equals, uint64(1))
	fenced := keeperGroup(0, 2, old, "n1", "n2", "n4")
	fenced.FenceMs = now
	c.Assert(assign(fenced), qt.Equals, crcode.OK)
	c.Assert(assign(keeperGroup(0, 3, old, "n1")), qt.Equals, crcode.BadValue)
}
