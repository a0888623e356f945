package crsoak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/citronramp/citronramp/internal/crpause"
	"github.com/citronramp/citronramp/pkg/crroute"
	"github.com/citronramp/citronramp/platform"
)

// changeInterval is the mean time between two configuration changes.
const changeInterval = 700 * time.Millisecond

// operator is a simulated operator, who writes one configuration after another and reads the newest one.
type operator struct {
	promises *promises
	// cores are the operator addresses of the coordinators, nodes the metrics addresses of the nodes.
	cores, nodes []string
	rng          *rand.Rand

	mu        sync.Mutex
	lastAcked uint64
}

func (o *operator) acknowledged() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.lastAcked
}

// document returns the configuration with the given version; each version has a route with its number.
func document(version uint64) ([]byte, error) {
	route := func(name, path, service string, kind crroute.Kind, attempts int) crroute.Route {
		return crroute.Route{
			Name: name, Host: host, Prefix: path, Kind: kind, Timeout: requestTimeout, Target: requestTimeout,
			Shares: []crroute.Share{{Service: service, Weight: 1}}, MaxAttempts: attempts,
		}
	}
	routes := []crroute.Route{
		route("look", lookPath, frontService, crroute.Repeatable, 2),
		route("record", recordPath, ledgerService, crroute.Once, 2),
		route("deadly", crashPath, ledgerService, crroute.Repeatable, 2),
		route("inner", innerPath, ledgerService, crroute.Repeatable, 2),
		route(fmt.Sprintf("version-%d", version), fmt.Sprintf("/version/%d/", version), frontService, crroute.Repeatable, 1),
	}
	services := []crroute.Service{
		{Name: frontService, HealthPath: "/health", MaxConnections: 100}, {Name: ledgerService, HealthPath: "/health", MaxConnections: 100},
	}
	return platform.EncodeDocument(version, version-1, routes, services)
}

func (o *operator) run(ctx context.Context) {
	for ctx.Err() == nil {
		o.put(ctx, o.acknowledged()+1)
		o.get(ctx)
		if crpause.For(ctx, time.Duration(o.rng.ExpFloat64()*float64(changeInterval))) != nil {
			return
		}
	}
}

// put sends the same configuration to coordinators chosen at random until one acknowledges it.
func (o *operator) put(ctx context.Context, version uint64) bool {
	body, err := document(version)
	if err != nil {
		o.promises.report("soak", "", err.Error())
		return false
	}
	for ctx.Err() == nil {
		status, answer := o.call(ctx, platform.ConfigPutTarget(), body)
		switch {
		case status == http.StatusOK:
			o.mu.Lock()
			o.lastAcked = version
			o.mu.Unlock()
			return true
		case status >= 400 && status < 500:
			o.promises.report("acknowledgements", "", fmt.Sprintf("version %d is refused with %d: %s", version, status, answer))
			return false
		}
		if crpause.For(ctx, 150*time.Millisecond) != nil {
			return false
		}
	}
	return false
}

// get reads the newest configuration; its version must not be lower than one that was acknowledged before the read.
func (o *operator) get(ctx context.Context) (uint64, bool) {
	least := o.acknowledged()
	status, answer := o.call(ctx, platform.ConfigGetTarget(), nil)
	if status != http.StatusOK {
		return 0, false
	}
	version, err := platform.DecodeVersion(answer)
	if err != nil || version < least {
		o.promises.report("acknowledged versions", "", fmt.Sprintf("version %d after %d was acknowledged (%v)", version, least, err))
	}
	return version, true
}

// call sends a call to a coordinator chosen at random; the status is 0 if there was no answer.
func (o *operator) call(ctx context.Context, target string, body []byte) (int, []byte) {
	status, answer, err := callPlatform(ctx, http.MethodPost, o.cores[o.rng.IntN(len(o.cores))], target, body)
	if err != nil {
		return 0, nil
	}
	return status, answer
}

// checkFinal checks at the end of the run that the newest configuration can be read and is in force at each node.
func (o *operator) checkFinal(ctx context.Context) {
	deadline := time.Now().Add(recoverLimit)
	for {
		_, ok := o.get(ctx)
		behind := o.nodeBehind(ctx)
		if ok && behind == "" {
			return
		}
		if time.Now().After(deadline) {
			o.promises.report("configurations come into force", "", fmt.Sprintf("version %d: answered %t, behind: %s", o.acknowledged(), ok, behind))
			return
		}
		if crpause.For(ctx, 200*time.Millisecond) != nil {
			return
		}
	}
}

// nodeBehind describes the first node whose configuration in force is older than the acknowledged one; empty if there is
// none.
func (o *operator) nodeBehind(ctx context.Context) string {
	for _, address := range o.nodes {
		v, err := inForce(ctx, address)
		if err != nil || v < o.acknowledged() {
			return fmt.Sprintf("%s has %d (%v)", address, v, err)
		}
	}
	return ""
}

// inForce reads the version of the configuration in force from the metrics of a node.
func inForce(ctx context.Context, address string) (uint64, error) {
	_, body, err := callPlatform(ctx, http.MethodGet, address, "/debug/vars", nil)
	if err != nil {
		return 0, err
	}
	var vars struct {
		Version uint64 `json:"config_version"`
	}
	err = json.Unmarshal(body, &vars)
	return vars.Version, err
}
