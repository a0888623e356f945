package crcapacity

import (
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"time"
)

// Cost measures processor time, traffic and memory that control needs, with nodes and control instances that handle no calls.
type Cost struct {
	Nodes    []int
	Rates    []int
	Rounds   int
	Window   time.Duration
	Controls int
	// Services is the number of services. Each node serves one of them and calls three others.
	Services int
	Out      io.Writer
}

// watchedServices is the number of services that a node calls and whose servers it therefore watches.
const watchedServices = 3

// usage is the resource usage in one window.
type usage struct {
	// cores is the number of busy cores of the whole process.
	cores float64
	// controlBytes and nodeBytes are bytes per second on connections that control instances and nodes accepted.
	controlBytes, nodeBytes float64
	// relayBytes is the part of nodeBytes of the node with the most traffic.
	relayBytes float64
}

// Run runs the measurements and prints a table and the fitted lines for each rate of changes.
func (m Cost) Run() error {
	memory := make([]float64, len(m.Nodes))
	used := map[int][][]usage{}
	for _, r := range m.Rates {
		used[r] = make([][]usage, len(m.Nodes))
	}
	for i, n := range m.Nodes {
		before := heldMemory()
		c, err := m.cluster(n)
		if err != nil {
			return fmt.Errorf("%d nodes: %w", n, err)
		}
		memory[i] = (heldMemory() - before) / 1e6
		_, _ = fmt.Fprintf(m.Out, "%d nodes: %.1f MB, %d changes of keeper groups\n", n, memory[i], c.groupChanges())
		for range m.Rounds {
			for _, rate := range m.Rates {
				u, err := m.window(c, rate)
				if err != nil {
					return err
				}
				used[rate][i] = append(used[rate][i], u)
			}
		}
		if err := c.stop(); err != nil {
			return err
		}
	}
	return m.print(memory, used)
}

// cluster starts n nodes that serve and watch services, and waits until the keeper groups (the nodes that store request ids)
// no longer change. The control instances start last, so that the first assignment of keepers includes most nodes; later
// assignments move only 16 groups per second.
func (m Cost) cluster(n int) (*cluster, error) {
	c := &cluster{}
	if err := c.prepare(m.Controls, false); err != nil {
		return nil, err
	}
	for i := range n {
		if _, err := c.addNode(fmt.Sprintf("s%d", i%m.Services)); err != nil {
			return nil, err
		}
	}
	if err := c.runControls(); err != nil {
		return nil, err
	}
	if err := c.createServices(m.Services); err != nil {
		return nil, err
	}
	if err := c.waitInForceOnAll(); err != nil {
		return nil, err
	}
	for i, node := range c.nodes {
		for k := 1; k <= watchedServices; k++ {
			// The call is refused for lack of a server, as expected; it makes the node watch the service.
			url := fmt.Sprintf("http://%s/v1/call/s%d/read", node.Settings.Listen, (i+k)%m.Services)
			resp, err := http.Post(url, "text/plain", strings.NewReader("x"))
			if err != nil {
				return nil, err
			}
			_ = resp.Body.Close()
		}
	}
	return c, c.waitGroupsSettled()
}

// waitGroupsSettled waits until no keeper group has changed for 4 s, several checks of the leader.
func (c *cluster) waitGroupsSettled() error {
	var last int64 = -1
	since := time.Now()
	return c.retryUntil(func() error {
		groups := c.groupChanges()
		if groups != last {
			last, since = groups, time.Now()
		}
		if time.Since(since) < 4*time.Second {
			return fmt.Errorf("keeper groups still change")
		}
		return nil
	})
}

// groupChanges returns the number of keeper group assignments since the start.
func (c *cluster) groupChanges() int64 {
	var n int64
	for _, ctl := range c.controls {
		n += ctl.Counters.Value("keeper_groups_changed")
	}
	return n
}

func heldMemory() float64 {
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return float64(s.HeapAlloc + s.StackInuse)
}

// window measures the resource usage in one window at a rate of changes per second.
func (m Cost) window(c *cluster, rate int) (usage, error) {
	cpu, control, nodes, start := cpuTime(), c.controlBytes.Load(), c.acceptedBytes(), time.Now()
	for i := 0; rate > 0 && time.Since(start) < m.Window; i++ {
		if _, err := c.command(fmt.Sprintf("set kind s%d/read worth %d", i%m.Services, 1+i%1000)); err != nil {
			return usage{}, err
		}
		time.Sleep(time.Until(start.Add(time.Duration(i+1) * time.Second / time.Duration(rate))))
	}
	time.Sleep(time.Until(start.Add(m.Window)))
	s := time.Since(start).Seconds()
	u := usage{cores: (cpuTime() - cpu).Seconds() / s, controlBytes: float64(c.controlBytes.Load()-control) / s}
	for i, after := range c.acceptedBytes() {
		rate := float64(after-nodes[i]) / s
		u.nodeBytes += rate
		u.relayBytes = max(u.relayBytes, rate)
	}
	return u, nil
}

// acceptedBytes returns the bytes on the connections that each node accepted.
func (c *cluster) acceptedBytes() []int64 {
	out := make([]int64, len(c.nodeBytes))
	for i, b := range c.nodeBytes {
		out[i] = b.Load()
	}
	return out
}

// figures are the columns of the cost table. nodeBytes is counted twice, since one node sends a byte and another receives it.
var figures = []struct {
	name string
	of   func(usage) float64
}{
	{"processor, % of a core", func(u usage) float64 { return 100 * u.cores }},
	{"bytes in and out of nodes, KB/s", func(u usage) float64 { return (u.controlBytes + 2*u.nodeBytes) / 1000 }},
	{"bytes in and out of control, KB/s", func(u usage) float64 { return u.controlBytes / 1000 }},
	{"busiest relay below it, KB/s", func(u usage) float64 { return u.relayBytes / 1000 }},
}

func (m Cost) print(memory []float64, used map[int][][]usage) error {
	_, _ = fmt.Fprintf(m.Out, "Control of n nodes in one process with %d control instances; %d windows of %s; each node watches %d of %d services\n",
		m.Controls, m.Rounds, m.Window, 1+watchedServices, m.Services)
	x := make([]float64, len(m.Nodes))
	for i, n := range m.Nodes {
		x[i] = float64(n)
	}
	for _, rate := range m.Rates {
		_, _ = fmt.Fprintf(m.Out, "\n%d changes a second: the whole process, median (lowest to highest)\n", rate)
		rows := [][]string{{"nodes"}}
		lines := [][]float64{}
		for _, f := range figures {
			rows[0] = append(rows[0], f.name)
			lines = append(lines, nil)
		}
		for i := range m.Nodes {
			row := []string{fmt.Sprint(m.Nodes[i])}
			for k, f := range figures {
				var values []float64
				for _, u := range used[rate][i] {
					values = append(values, f.of(u))
				}
				s := Summarize(values)
				lines[k] = append(lines[k], s.Median)
				row = append(row, s.String())
			}
			rows = append(rows, row)
		}
		if err := writeTable(m.Out, rows); err != nil {
			return err
		}
		for k, f := range figures {
			_, _ = fmt.Fprintf(m.Out, "%s = %s\n", f.name, Fit(x, lines[k]))
		}
	}
	_, _ = fmt.Fprintf(m.Out, "\nMemory of the whole process after start, heap and stacks, MB: %v at %v nodes\nmemory, MB = %s\n", memory, m.Nodes, Fit(x, memory))
	return nil
}
