package crcontrol

import (
	"context"

	"google.golang.org/protobuf/proto"

	"github.com/citronramp/citronramp/internal/crlang"
	"github.com/citronramp/citronramp/internal/crprint"
	"github.com/citronramp/citronramp/internal/crwire"
	"github.com/citronramp/citronramp/pkg/crcode"
	"github.com/citronramp/citronramp/pkg/crlog"
)

// propose appends a command to the consensus log and returns the answer of the state machine once it is applied.
func (c *Control) propose(ctx context.Context, cmd *crwire.ConfigCommand) (*crwire.ConfigAnswer, error) {
	data, err := proto.Marshal(cmd)
	if err != nil {
		return nil, crcode.New(crcode.Internal, "%v", err)
	}
	result, _, _, err := c.replica.Propose(ctx, data)
	if err != nil {
		return nil, err
	}
	answer, ok := result.(*crwire.ConfigAnswer)
	if !ok {
		return nil, crcode.New(crcode.Internal, "the configuration gave no answer")
	}
	return answer, nil
}

// changeMembers adds, removes or replaces a control instance as member of the consensus log.
func (c *Control) changeMembers(ctx context.Context, ch crlang.Change) (crprint.Answer, error) {
	if o := ch.ChangeOptions(); o.ID != "" || o.ExpectedVersion != nil {
		// The log stores neither command ids nor object versions for its members, so these options would be ignored.
		return nil, crcode.New(crcode.BadValue, "a change of members takes neither id nor if; send it without them, and after a lost answer read show members first")
	}
	var name string
	var err error
	switch x := ch.(type) {
	case crlang.AddMember:
		name, err = x.Name, c.addMember(ctx, x)
	case crlang.RemoveMember:
		name, err = x.Name, c.removeMember(ctx, x)
	case crlang.ReplaceMember:
		name, err = x.New, c.replaceMember(ctx, x)
	default:
		err = crcode.New(crcode.UnknownCommand, "%s", ch)
	}
	if err != nil {
		return nil, err
	}
	return crprint.MemberResult(name), nil
}

// queryMember requests the member id of the instance at address and checks that the instance has the given name.
func (c *Control) queryMember(ctx context.Context, name, address string) (crlog.Member, error) {
	id, err := c.queryIdentity(ctx, address)
	if err != nil {
		return crlog.Member{}, crcode.New(crcode.NotFound, "the control instance at %s does not answer: %v", address, err)
	}
	if id.GetName() != name {
		return crlog.Member{}, crcode.New(crcode.BadValue, "the control instance at %s is %s, not %s", address, id.GetName(), name)
	}
	return crlog.Member{ID: id.GetMemberId(), Name: name, Address: address}, nil
}

func (c *Control) addMember(ctx context.Context, x crlang.AddMember) error {
	m, err := c.queryMember(ctx, x.Name, x.Address.String())
	if err != nil {
		return err
	}
	return c.replica.AddMember(ctx, m)
}

func (c *Control) removeMember(ctx context.Context, x crlang.RemoveMember) error {
	id, err := c.memberID(x.Name)
	if err != nil {
		return err
	}
	return c.replica.RemoveMember(ctx, id)
}

func (c *Control) replaceMember(ctx context.Context, x crlang.ReplaceMember) error {
	lost, err := c.memberID(x.Old)
	if err != nil {
		return err
	}
	m, err := c.queryMember(ctx, x.New, x.Address.String())
	if err != nil {
		return err
	}
	return c.replica.ReplaceMember(ctx, lost, m)
}

// memberID returns the id of the current member with the given name.
func (c *Control) memberID(name string) (uint64, error) {
	for _, m := range c.replica.Status().Members {
		if m.Name == name {
			return m.ID, nil
		}
	}
	return 0, crcode.New(crcode.NotFound, "no control member is called %s; see show members", name)
}
