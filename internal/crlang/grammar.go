package crlang

import (
	"github.com/citronramp/citronramp/internal/crconfig"
	"github.com/citronramp/citronramp/pkg/crcode"
)

// verbs lists the first words of the commands in the order of the help.
var verbs = []string{"create", "set", "delete", "drain", "return", "lift", "add", "remove", "replace", "show", "wait", "help"}

// command parses a whole command. The methods that parse one kind of command are called after its first word.
func (p *parser) command() (Command, error) {
	verb, err := p.oneOf(crcode.UnknownCommand, verbs...)
	if err != nil {
		return nil, err
	}
	switch verb {
	case "create":
		return p.serviceOrKind(p.createService, p.createKind)
	case "set":
		return p.serviceOrKind(p.setService, p.setKind)
	case "delete":
		return p.serviceOrKind(p.deleteService, p.deleteKind)
	case "drain", "return":
		return p.drainOrReturn(verb)
	case "lift":
		return p.liftConviction()
	case "add", "remove", "replace":
		return p.memberChange(verb)
	case "show":
		return p.show()
	case "wait":
		return p.wait()
	}
	return p.help()
}

// serviceOrKind parses the word service or kind and then calls the matching function for the rest of the command.
func (p *parser) serviceOrKind(service, kind func() (Command, error)) (Command, error) {
	what, err := p.oneOf(crcode.Syntax, "service", "kind")
	if err != nil {
		return nil, err
	}
	if what == "service" {
		return service()
	}
	return kind()
}

// ownerOption returns the option that sets the owner of a service.
func ownerOption(owner *string) option {
	return option{"owner", func(p *parser) (err error) {
		*owner, err = p.name("owner")
		return err
	}}
}

func (p *parser) createService() (Command, error) {
	var c CreateService
	var err error
	if c.Name, err = p.name("service"); err != nil {
		return nil, err
	}
	err = p.changeOptions(&c.Options, ownerOption(&c.Owner))
	return c, err
}

func (p *parser) setService() (Command, error) {
	var c SetService
	var err error
	if c.Name, err = p.name("service"); err != nil {
		return nil, err
	}
	err = p.changeOptions(&c.Options, ownerOption(&c.Owner))
	if err == nil && c.Owner == "" {
		err = errorAt(crcode.Syntax, p.peek(), "nothing to set; write owner and a name")
	}
	return c, err
}

func (p *parser) deleteService() (Command, error) {
	var c DeleteService
	var err error
	if c.Name, err = p.name("service"); err != nil {
		return nil, err
	}
	err = p.changeOptions(&c.Options)
	return c, err
}

// fieldOptions returns the options that set the properties of a kind.
func fieldOptions(f *Fields) []option {
	return []option{
		{"worth", func(p *parser) error { return assignTo(&f.Worth)(p.number("worth", crconfig.MaxWorth)) }},
		{"class", func(p *parser) error { return assignTo(&f.Protected)(p.choice("protected", "ordinary")) }},
		{"repeat", func(p *parser) error { return assignTo(&f.Repeatable)(p.choice("yes", "no")) }},
		{"deadline", func(p *parser) error { return assignTo(&f.Deadline)(p.duration("deadline", crconfig.MaxDeadline)) }},
		{"retries", func(p *parser) error { return assignTo(&f.Retries)(p.number("retries", crconfig.MaxRetries)) }},
	}
}

// assignTo returns a function that stores a parsed value at dst unless parsing failed.
func assignTo[T any](dst **T) func(T, error) error {
	return func(v T, err error) error {
		if err == nil {
			*dst = &v
		}
		return err
	}
}

func (p *parser) createKind() (Command, error) {
	var c CreateKind
	var err error
	if c.Service, c.Name, err = p.kind(); err != nil {
		return nil, err
	}
	err = p.changeOptions(&c.Options, fieldOptions(&c.Fields)...)
	return c, err
}

func (p *parser) setKind() (Command, error) {
	var c SetKind
	var err error
	if c.Service, c.Name, err = p.kind(); err != nil {
		return nil, err
	}
	err = p.changeOptions(&c.Options, fieldOptions(&c.Fields)...)
	if err == nil && c.Fields == (Fields{}) {
		err = errorAt(crcode.Syntax, p.peek(), "nothing to set; write one of: worth, class, repeat, deadline, retries")
	}
	return c, err
}

func (p *parser) deleteKind() (Command, error) {
	var c DeleteKind
	var err error
	if c.Service, c.Name, err = p.kind(); err != nil {
		return nil, err
	}
	err = p.changeOptions(&c.Options)
	return c, err
}

// drainOrReturn parses the rest of a drain or return command.
func (p *parser) drainOrReturn(verb string) (Command, error) {
	if _, err := p.oneOf(crcode.Syntax, "server"); err != nil {
		return nil, err
	}
	node, err := p.name("node")
	if err != nil {
		return nil, err
	}
	var o Options
	err = p.changeOptions(&o)
	if verb == "drain" {
		return DrainServer{node, o}, err
	}
	return ReturnServer{node, o}, err
}

func (p *parser) liftConviction() (Command, error) {
	if _, err := p.oneOf(crcode.Syntax, "conviction"); err != nil {
		return nil, err
	}
	w := p.advance()
	if err := crconfig.CheckFingerprint(w.text); err != nil {
		return nil, withColumn(w, err)
	}
	c := LiftConviction{Fingerprint: w.text}
	err := p.changeOptions(&c.Options)
	return c, err
}

// memberChange parses the rest of an add, remove or replace command.
func (p *parser) memberChange(verb string) (Command, error) {
	if _, err := p.oneOf(crcode.Syntax, "member"); err != nil {
		return nil, err
	}
	name, err := p.name("member")
	if err != nil {
		return nil, err
	}
	var o Options
	if verb == "remove" {
		err = p.changeOptions(&o)
		return RemoveMember{name, o}, err
	}
	var replacement string
	if verb == "replace" {
		if _, err := p.oneOf(crcode.Syntax, "with"); err != nil {
			return nil, err
		}
		if replacement, err = p.name("new member"); err != nil {
			return nil, err
		}
	}
	if _, err := p.oneOf(crcode.Syntax, "at"); err != nil {
		return nil, err
	}
	address, err := p.address()
	if err != nil {
		return nil, err
	}
	err = p.changeOptions(&o)
	if verb == "add" {
		return AddMember{name, address, o}, err
	}
	return ReplaceMember{name, replacement, address, o}, err
}

func (p *parser) show() (Command, error) {
	topics := []Topic{Services, Kinds, Servers, Shedding, Leader, Spread, Members, Convictions, ConfigVersion}
	words := make([]string, len(topics))
	for i, t := range topics {
		words[i] = string(t)
	}
	topic, err := p.oneOf(crcode.Syntax, words...)
	if err != nil {
		return nil, err
	}
	c := Show{Topic: Topic(topic)}
	service := option{"service", func(p *parser) (err error) {
		c.Service, err = p.name("service")
		return err
	}}
	since := option{"since", func(p *parser) (err error) {
		c.Since, err = p.time()
		return err
	}}
	switch c.Topic {
	case Kinds, Servers, Shedding:
		err = p.options(service)
	case Convictions:
		err = p.options(service, since)
	case Spread:
		err = p.options(option{"version", func(p *parser) error { return assignTo(&c.Version)(p.version()) }})
	default:
		err = p.options()
	}
	return c, err
}

func (p *parser) wait() (Command, error) {
	v, err := p.version()
	if err != nil {
		return nil, err
	}
	c := Wait{Version: v, Timeout: DefaultTimeout}
	err = p.options(option{"timeout", func(p *parser) (err error) {
		c.Timeout, err = p.duration("timeout", MaxTimeout)
		return err
	}})
	return c, err
}

func (p *parser) help() (Command, error) {
	if p.next == len(p.words) {
		return Help{}, nil
	}
	about, err := p.oneOf(crcode.UnknownCommand, verbs...)
	if err != nil {
		return nil, err
	}
	return Help{about}, p.options()
}
