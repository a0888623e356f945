package crintake_test

import (
	"net"
	"net/http"
	"testing"

	"github.com/citronramp/citronramp/internal/crtest"
	"github.com/citronramp/citronramp/platform"
)

// operatorTarget returns a target whose first address answers a GET of the path.
func operatorTarget(p *process, path string, address string, others ...string) target {
	to := target{process: p, address: address, others: others, headBytes: headerLimit}
	return callTarget(to, path, func() bool {
		for _, a := range others {
			if get(a, countersPath, "") != http.StatusOK {
				return false
			}
		}
		return get(address, path, "") == http.StatusOK
	})
}

func readinessAndMetricsTarget(t *testing.T, fds int) target {
	core := startCore(t, nodeMemoryMB, crowdFDs)
	node := startNode(t, core, "ledger", nodeMemoryMB, fds)
	return operatorTarget(node.process, platform.ReadyPath(), node.settings.Listen.Ready, node.metricsAddress())
}

func coordinatorMetricsTarget(t *testing.T, fds int) target {
	core := startCore(t, nodeMemoryMB, fds)
	return operatorTarget(core.process, countersPath, core.metricsAddress())
}

func productMetricsTarget(t *testing.T, fds int) target {
	p := startProductNode(t, net.JoinHostPort(crtest.Host(), "8303"), productMemoryMB, fds)
	return operatorTarget(p.process, countersPath, p.admin)
}

func controlOperatorsTarget(t *testing.T, fds int) target {
	p := startControl(t, nodeMemoryMB, fds)
	to := target{process: p.process, address: p.clients, others: []string{p.admin}, headBytes: headerLimit}
	return callTarget(to, commandPath, func() bool {
		return command(p.clients) == http.StatusOK && get(p.admin, countersPath, "") == http.StatusOK
	})
}

// TestOperatorCrowds guards against clients of the listeners for operators, metrics and readiness that make a process exceed
// the memory or the descriptors of its settings, end it or keep it from answering afterwards. It checks no times.
func TestOperatorCrowds(t *testing.T) {
	endureAll(t, crowds, []listener{
		{"readiness and metrics of a node", readinessAndMetricsTarget, nodeMemoryMB},
		{"metrics of a coordinator", coordinatorMetricsTarget, nodeMemoryMB},
		{"metrics of the product's node", productMetricsTarget, productMemoryMB},
		{"operators and metrics of the product's control", controlOperatorsTarget, nodeMemoryMB},
	})
}
