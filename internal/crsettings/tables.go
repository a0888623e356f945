package crsettings

import (
	"fmt"
	"time"

	"github.com/citronramp/citronramp/pkg/crcode"
)

// settings reads all tables and then adds a fault for each unknown key.
func (p *parser) settings(tree map[string]any) *Settings {
	s := &Settings{LogLevel: p.choice("log.level", "info", "info", "debug")}
	if _, ok := tree["node"]; ok {
		s.Node = p.node()
	}
	if _, ok := tree["control"]; ok {
		s.Control = p.control()
	}
	if s.Node == nil && s.Control == nil {
		p.addFault("", crcode.SettingsMissingKey, "the file has neither a [node] nor a [control] table")
	}
	p.checkUnknown()
	return s
}

func (p *parser) node() *Node {
	p.checkDistinct("node.listen", "node.inner", "node.admin")
	return &Node{
		Name:         p.name("node.name"),
		Domain:       p.name("node.domain"),
		Region:       p.name("node.region"),
		Service:      p.name("node.service"),
		Listen:       p.address("node.listen"),
		Inner:        p.address("node.inner"),
		Admin:        p.address("node.admin"),
		Control:      p.addresses("node.control", true),
		Secret:       p.secret("node.secret"),
		MaxBodyBytes: p.integer("node.max_body_bytes", defaultMaxBodyBytes, 1, defaultMaxBodyBytes),
		MaxRequests:  p.integer("node.max_requests", defaultMaxRequests, 10, 100000),
		MemoryMB:     p.integer("node.memory_mb", defaultMemoryMB, minMemoryMB, 1<<20),
		MaxFDs:       p.integer("node.max_fds", defaultMaxFDs, minMaxFDs, 1<<20),
		QueueLength:  p.integer("node.queue_length", defaultQueueLength, 1, 100000),
		QueueTime:    p.duration("node.queue_time", defaultQueueTime, time.Millisecond, 10*time.Second),
		StopTimeout:  p.duration("node.stop_timeout", defaultStopTimeout, time.Second, 10*time.Minute),
	}
}

func (p *parser) control() *Control {
	p.checkDistinct("control.inner", "control.operator", "control.admin")
	c := &Control{
		Name:        p.name("control.name"),
		Domain:      p.name("control.domain"),
		Region:      p.name("control.region"),
		Inner:       p.address("control.inner"),
		Operator:    p.address("control.operator"),
		Admin:       p.address("control.admin"),
		Observer:    p.boolean("control.observer"),
		Join:        p.addresses("control.join", false),
		Secret:      p.secret("control.secret"),
		MemoryMB:    p.integer("control.memory_mb", defaultMemoryMB, minMemoryMB, 1<<20),
		MaxFDs:      p.integer("control.max_fds", defaultMaxFDs, minMaxFDs, 1<<20),
		StopTimeout: p.duration("control.stop_timeout", defaultStopTimeout, time.Second, 10*time.Minute),
	}
	c.DataDir = p.dataDir(c.Observer)
	c.Members = p.members(c)
	if c.Observer && len(c.Join) == 0 {
		p.addFault("control.join", crcode.SettingsMissingKey, "is missing; an observer needs the inner address of a control instance")
	}
	return c
}

func (p *parser) dataDir(observer bool) string {
	const allowed = `the path of a folder, as in "/var/lib/citronramp"`
	if observer {
		if v, ok := p.lookup("control.data_dir"); ok {
			p.badValue("control.data_dir", v, "nothing, since an observer keeps no files")
		}
		return ""
	}
	v, ok := p.required("control.data_dir", allowed)
	if !ok {
		return ""
	}
	s, _ := v.(string)
	if s == "" {
		p.badValue("control.data_dir", v, allowed)
	}
	return s
}

// members reads [[control.members]]. The list must have 1, 3 or 5 entries and must include this instance.
func (p *parser) members(c *Control) []Member {
	const key = "control.members"
	v, ok := p.lookup(key)
	if !ok {
		return nil
	}
	list, isList := v.([]map[string]any)
	if !isList {
		p.badValue(key, v, "tables [[control.members]] with name and inner")
		return nil
	}
	if n := len(list); n != 1 && n != 3 && n != 5 {
		p.addFault(key, crcode.SettingsBadValue, "%d members are not allowed; allowed is 1, 3 or 5", n)
	}
	var out []Member
	seen, self := map[string]bool{}, false
	for i, t := range list {
		entry := fmt.Sprintf("%s[%d]", key, i+1)
		m := p.member(entry, t)
		if seen[m.Name] || seen[m.Inner] {
			p.addFault(entry, crcode.SettingsBadValue, "%q or its address stands twice; allowed is once", m.Name)
		}
		seen[m.Name], seen[m.Inner] = true, true
		self = self || m.Name == c.Name && m.Inner == c.Inner
		out = append(out, m)
	}
	if !self {
		p.addFault(key, crcode.SettingsBadValue, "this instance (%s, %s) is not in the list; add it", c.Name, c.Inner)
	}
	return out
}

func (p *parser) member(key string, t map[string]any) Member {
	for k := range t {
		if k != "name" && k != "inner" {
			p.addFault(key+"."+k, crcode.SettingsUnknownKey, "no such key; allowed is name and inner")
		}
	}
	name, _ := t["name"].(string)
	if !namePattern.MatchString(name) {
		p.badValue(key+".name", t["name"], nameAllowed)
	}
	return Member{Name: name, Inner: p.addressValue(key+".inner", t["inner"])}
}
