package crcapacity

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/errs"
)

// Control measures how long control instances take to accept a change, to bring it into force and to replace a lost leader.
type Control struct {
	// Rounds is the number of fail-overs for each kind of fault.
	Rounds int
	// Changes is the number of changes for the measurement of acceptance. A tenth of them is made for each number of nodes.
	Changes int
	Nodes   []int
	Out     io.Writer
}

// Run runs the measurements and prints the tables.
func (m Control) Run() error {
	if err := m.acceptance(); err != nil {
		return err
	}
	if err := m.timeInForce(); err != nil {
		return err
	}
	return m.failOver()
}

// withCluster runs f on a new cluster with one service and stops the cluster.
func withCluster(controls int, forward bool, f func(*cluster) error) error {
	c, err := newCluster(controls, forward)
	if err != nil {
		return err
	}
	if err = c.createServices(1); err == nil {
		err = f(c)
	}
	return errs.Combine(err, c.stop())
}

func setWorthCommand(i int) string { return fmt.Sprintf("set kind s0/read worth %d", 1+i%1000) }

func (m Control) acceptance() error {
	rows := [][]string{{"control instances", "p50, ms", "p99, ms", "longest, ms"}}
	for _, controls := range []int{1, 3} {
		err := withCluster(controls, false, func(c *cluster) error {
			var took []time.Duration
			for i := range m.Changes {
				start := time.Now()
				if _, err := c.change(0, setWorthCommand(i)); err != nil {
					return err
				}
				took = append(took, time.Since(start))
			}
			rows = append(rows, append([]string{fmt.Sprint(controls)}, quantiles(took)...))
			return nil
		})
		if err != nil {
			return err
		}
	}
	_, _ = fmt.Fprintf(m.Out, "Acceptance of a change, from the command over HTTP to its answer; %d changes, one at a time\n", m.Changes)
	return writeTable(m.Out, rows)
}

func quantiles(took []time.Duration) []string {
	var values []float64
	for _, d := range took {
		values = append(values, milliseconds(d))
	}
	s := Summarize(values)
	sorted := slices.Sorted(slices.Values(took))
	return []string{fmt.Sprintf("%.2f", s.Median), fmt.Sprintf("%.2f", milliseconds(quantile(sorted, 0.99))), fmt.Sprintf("%.2f", s.High)}
}

func (m Control) timeInForce() error {
	rows := [][]string{{"nodes", "p50, ms", "p99, ms", "longest, ms"}}
	for _, n := range m.Nodes {
		err := withCluster(3, false, func(c *cluster) error {
			if err := c.addNodes(n, 1); err != nil {
				return err
			}
			var took []time.Duration
			for i := range max(m.Changes/10, 1) {
				start := time.Now()
				version, err := c.change(0, setWorthCommand(i))
				if err != nil {
					return err
				}
				if err := c.inForce(version); err != nil {
					return err
				}
				took = append(took, time.Since(start))
			}
			rows = append(rows, append([]string{fmt.Sprint(n)}, quantiles(took)...))
			return nil
		})
		if err != nil {
			return fmt.Errorf("%d nodes: %w", n, err)
		}
	}
	_, _ = fmt.Fprintf(m.Out, "\nFrom the command until the control instances know that the change is in force on all nodes; 3 control instances, %d changes\n", max(m.Changes/10, 1))
	return writeTable(m.Out, rows)
}

// addNodes adds nodes until there are n, distributed over services, and waits until all have the newest version.
func (c *cluster) addNodes(n, services int) error {
	for len(c.nodes) < n {
		if _, err := c.addNode(fmt.Sprintf("s%d", len(c.nodes)%services)); err != nil {
			return err
		}
	}
	return c.waitInForceOnAll()
}

func (m Control) failOver() error {
	rows := [][]string{{"loss of the leader", "p50, s", "longest, s"}}
	err := withCluster(3, true, func(c *cluster) error {
		for _, kind := range []fault{closed, silent} {
			var took []float64
			for i := range m.Rounds {
				d, err := c.loseLeader(kind, i)
				if err != nil {
					return err
				}
				took = append(took, d.Seconds())
			}
			s := Summarize(took)
			name := map[fault]string{closed: "killed: connections closed at once", silent: "cut off silently: no byte passes"}[kind]
			rows = append(rows, []string{name, fmt.Sprintf("%.2f", s.Median), fmt.Sprintf("%.2f", s.High)})
		}
		return nil
	})
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(m.Out, "\nFrom the loss of the leader until another control instance has accepted a change; 3 control instances, %d losses each\n", m.Rounds)
	return writeTable(m.Out, rows)
}

// loseLeader injects a fault for the leader, returns the time until another instance accepts a change, and ends the fault.
func (c *cluster) loseLeader(kind fault, i int) (time.Duration, error) {
	leader, err := c.leader()
	if err != nil {
		return 0, err
	}
	name := c.controls[leader].Settings.Name
	defer c.network.set("", healthy)
	start := time.Now()
	c.network.set(name, kind)
	accepted := make(chan int, len(c.controls))
	for k := range c.controls {
		if k == leader {
			continue
		}
		go func() {
			if c.retryUntil(func() error { _, err := c.change(k, setWorthCommand(i)); return err }) == nil {
				accepted <- k
			}
		}()
	}
	var took time.Duration
	select {
	case <-accepted:
		took = time.Since(start)
	case <-time.After(startTimeout):
		return 0, fmt.Errorf("%s lost: no change was accepted in %s", name, startTimeout)
	}
	c.network.set("", healthy)
	return took, c.retryUntil(func() error { _, err := c.change(leader, setWorthCommand(i+1)); return err })
}

// leader returns the index of the control instance that is the leader.
func (c *cluster) leader() (int, error) {
	found := -1
	err := c.retryUntil(func() error {
		for i, ctl := range c.controls {
			if strings.Contains(ctl.Counters.String(), `"in_charge": true`) {
				found = i
				return nil
			}
		}
		return errors.New("no control instance is in charge")
	})
	return found, err
}
