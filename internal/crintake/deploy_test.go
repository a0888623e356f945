package crintake_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/citronramp/citronramp/internal/crforward"
	"github.com/citronramp/citronramp/internal/crtest"
	"github.com/citronramp/citronramp/pkg/crroute"
	"github.com/citronramp/citronramp/platform"
)

// Ports of the processes; each simulated machine is a loopback address of its own.
const (
	inboundPort  = "8300"
	serverPort   = "8301"
	readyPort    = "8302"
	entrancePort = "8304"
	controlPort  = "8306"
	firstOwnPort = 7620
)

const (
	testHost = "app.example"
	// quickPath is answered at once by the simulated server, holdPath only when its caller gives up.
	quickPath = "/quick/"
	holdPath  = "/hold/"
	// countersPath is where the listeners for metrics answer, commandPath those for operators of the product.
	countersPath = "/debug/vars"
	commandPath  = "/v1/command"
	// startLimit and answerLimit bound the waiting of a test that has failed; they are no requirements.
	startLimit  = 60 * time.Second
	answerLimit = 60 * time.Second
	// serverSlots exceeds the crowds, so that their requests run instead of being refused.
	serverSlots    = 2000
	headerLimit    = 16 << 10
	heartbeatEvery = 300 * time.Millisecond
)

// programDir is the folder of the program that the tests start; it is empty until a test has needed it.
var programDir string

// program builds the program once and returns its path.
var program = sync.OnceValues(func() (string, error) {
	var err error
	if programDir, err = os.MkdirTemp("", "crintake"); err != nil {
		return "", err
	}
	path := filepath.Join(programDir, "citronramp")
	out, err := exec.Command("go", "build", "-o", path, "github.com/citronramp/citronramp/cmd/citronramp").CombinedOutput()
	if err != nil {
		err = fmt.Errorf("%w: %s", err, out)
	}
	return path, err
})

// TestMain removes the program after the tests.
func TestMain(m *testing.M) {
	code := m.Run()
	if programDir != "" {
		_ = os.RemoveAll(programDir)
	}
	os.Exit(code)
}

// process is a process of the system that the test started.
type process struct {
	pid  int
	log  string
	done chan struct{}
}

// limitDescriptors is a shell command that runs its arguments with a limit of open descriptors, which is its name.
const limitDescriptors = `ulimit -n "$0" && exec "$@"`

// start starts the program with the given settings file, limit of descriptors and arguments, and ends it with the test.
func start(t *testing.T, name, settings string, fds int, args ...string) *process {
	t.Helper()
	file := filepath.Join(t.TempDir(), name+".toml")
	qt.Assert(t, os.WriteFile(file, []byte(settings), 0o600), qt.IsNil)
	p := &process{log: file + ".log", done: make(chan struct{})}
	log, err := os.Create(p.log)
	qt.Assert(t, err, qt.IsNil)
	path, err := program()
	qt.Assert(t, err, qt.IsNil)
	cmd := exec.Command("sh", append([]string{"-c", limitDescriptors, strconv.Itoa(fds), path}, append(args, "--settings", file)...)...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = append(os.Environ(), "GOMAXPROCS=2")
	qt.Assert(t, cmd.Start(), qt.IsNil)
	p.pid = cmd.Process.Pid
	go func() {
		defer close(p.done)
		_ = cmd.Wait()
		_ = log.Close()
	}()
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		<-p.done
	})
	return p
}

func (p *process) alive() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// logEnd returns the end of the log, which shows why a process ended.
func (p *process) logEnd() string {
	b, err := os.ReadFile(p.log)
	if err != nil {
		return err.Error()
	}
	return string(b[max(0, len(b)-2000):])
}

var peakPattern = regexp.MustCompile(`VmHWM:\s+(\d+) kB`)

// peakMemory returns the largest resident memory that the process has had, in bytes.
func (p *process) peakMemory(t *testing.T) int64 {
	t.Helper()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.pid))
	qt.Assert(t, err, qt.IsNil)
	m := peakPattern.FindSubmatch(b)
	qt.Assert(t, m, qt.HasLen, 2)
	n, err := strconv.ParseInt(string(m[1]), 10, 64)
	qt.Assert(t, err, qt.IsNil)
	return n << 10
}

// descriptors returns the number of open descriptors; 0 if the process has ended.
func (p *process) descriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.pid))
	if err != nil {
		return 0
	}
	return len(entries)
}

// machine is a simulated machine with a process of the platform.
type machine struct {
	*process
	settings platform.Settings
}

// metricsAddress returns the address at which the process serves its counters.
func (m *machine) metricsAddress() string { return m.address(strconv.Itoa(firstOwnPort + 1)) }

func (m *machine) address(port string) string { return net.JoinHostPort(m.settings.IP, port) }

// newMachine returns a machine whose seed is the given address; empty means itself.
func newMachine(t *testing.T, name, seed string, memoryMB int64, fds int) *machine {
	ip := crtest.Host()
	m := &machine{settings: platform.Settings{
		NodeName: name, Zone: "zone-1", Region: "test", IP: ip, PortRange: []int{firstOwnPort, firstOwnPort + 15},
		DataDir: t.TempDir(), Heartbeat: heartbeatEvery.String(), Bounds: []string{"grace=6s", "retry-budget-ratio=0.2"},
	}}
	m.settings.Listen.Control = m.address(controlPort)
	if seed == "" {
		seed = m.settings.Listen.Control
	}
	m.settings.Seeds = []string{seed}
	m.settings.Limits.MemoryMB, m.settings.Limits.MaxFDs = memoryMB, fds
	return m
}

func (m *machine) run(t *testing.T, role string) {
	text, err := m.settings.Encode()
	qt.Assert(t, err, qt.IsNil)
	m.process = start(t, m.settings.NodeName, string(text), m.settings.Limits.MaxFDs, "platform", role)
}

// startCore starts a coordinator and waits until it has accepted the configuration.
func startCore(t *testing.T, memoryMB int64, fds int) *machine {
	m := newMachine(t, "core-1", "", memoryMB, fds)
	m.settings.Bootstrap = true
	m.run(t, "core")
	body := configuration(t)
	m.await(t, "the configuration is accepted", func() bool {
		status, _ := post(m.settings.Listen.Control, platform.ConfigPutTarget(), body)
		return status == http.StatusOK
	})
	return m
}

// await polls until the condition holds; it fails when the process has ended or the start limit has passed.
func (m *machine) await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(startLimit); !holds(); time.Sleep(100 * time.Millisecond) {
		if !m.alive() || time.Now().After(end) {
			t.Fatalf("not reached: %s; the log ends with\n%s", what, m.logEnd())
		}
	}
}

// configuration returns a configuration with one route of each service for each path, and the platform's limit of heads.
func configuration(t *testing.T) []byte {
	var routes []crroute.Route
	var services []crroute.Service
	for _, service := range []string{"front", "ledger"} {
		for _, path := range []string{quickPath, holdPath} {
			routes = append(routes, crroute.Route{
				Name: service + path[1:5], Host: service + "." + testHost, Prefix: path, Kind: crroute.Once, Timeout: 20 * time.Second, Target: 20 * time.Second,
				Shares: []crroute.Share{{Service: service, Weight: 1}}, MaxAttempts: 1,
			})
		}
		services = append(services, crroute.Service{Name: service, HealthPath: "/health", MaxConnections: serverSlots})
	}
	body, err := platform.EncodeDocument(1, 0, routes, services)
	qt.Assert(t, err, qt.IsNil)
	var document map[string]any
	qt.Assert(t, json.Unmarshal(body, &document), qt.IsNil)
	document["resources"] = append(document["resources"].([]any), map[string]any{
		"type": "limits", "metadata": map[string]any{"name": "limits"}, "spec": map[string]any{
			"max-header-bytes": headerLimit, "max-body-bytes": 1 << 20, "header-timeout": "3s", "idle-timeout": "15s",
		},
	})
	body, err = json.Marshal(document)
	qt.Assert(t, err, qt.IsNil)
	return body
}

// startNode starts a node with a simulated server of the service, and waits until both are ready.
func startNode(t *testing.T, core *machine, service string, memoryMB int64, fds int) *machine {
	m := newMachine(t, "node-"+service, core.settings.Listen.Control, memoryMB, fds)
	m.settings.Service, m.settings.AppAddress = service, m.address(serverPort)
	m.settings.Listen.Inbound, m.settings.Listen.Outbound, m.settings.Listen.Ready = m.address(inboundPort), m.address(entrancePort), m.address(readyPort)
	m.run(t, "sidecar")
	m.startServer(t)
	m.await(t, "the node is ready", func() bool { return get(m.settings.Listen.Ready, platform.ReadyPath(), "") == http.StatusOK })
	return m
}

// startServer starts the simulated server beside a node; it reports until the test ends.
func (m *machine) startServer(t *testing.T) {
	ln, err := net.Listen("tcp", m.settings.AppAddress)
	qt.Assert(t, err, qt.IsNil)
	server := &http.Server{Handler: http.HandlerFunc(serveBackend)}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() {
		cancel()
		_ = server.Close()
	})
	go func() { _ = server.Serve(ln) }()
	report := crforward.Report{ID: "server-" + m.settings.Service, Service: m.settings.Service, Address: m.settings.AppAddress, Born: time.Now(), Slots: serverSlots}
	go func() {
		for ctx.Err() == nil {
			report.Sequence++
			if target, body, err := platform.EncodeHeartbeat(report, m.settings.Zone); err == nil {
				_, _ = post(m.settings.Listen.Control, target, body)
			}
			time.Sleep(heartbeatEvery)
		}
	}()
}

func serveBackend(w http.ResponseWriter, r *http.Request) {
	names := platform.RequestHeaders()
	w.Header().Set(names.RequestID, r.Header.Get(names.RequestID))
	if len(r.URL.Path) >= len(holdPath) && r.URL.Path[:len(holdPath)] == holdPath {
		<-r.Context().Done()
		return
	}
	_, _ = io.WriteString(w, "answer")
}

var requestCount atomic.Int64

// requestHeaders returns the headers of one request with a new id, as lines.
func requestHeaders(timeout time.Duration) string {
	names := platform.RequestHeaders()
	return fmt.Sprintf("%s: crowd-%d\r\n%s: %d\r\n", names.RequestID, requestCount.Add(1), names.Timeout, timeout.Milliseconds())
}

// client uses a new connection for each request, since a process may close idle connections.
var client = &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// post sends one call and returns its status, 0 if there was no answer.
func post(address, target string, body []byte) (int, []byte) {
	resp, err := client.Post("http://"+address+target, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, answer
}

// get sends one ordinary request and returns its status, 0 if there was no answer. An empty host means the address.
func get(address, path, host string) int {
	req, err := http.NewRequest(http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return 0
	}
	names := platform.RequestHeaders()
	req.Host = host
	req.Header.Set(names.RequestID, fmt.Sprintf("ordinary-%d", requestCount.Add(1)))
	req.Header.Set(names.Timeout, "5000")
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// productSecret is the secret that the processes of the product share.
const productSecret = "crowd-secret-0123456789"

// product is a process of the product's own programs with the addresses of its listeners.
type product struct {
	*process
	// clients is the address for callers or operators.
	clients, inner, admin string
}

// startProduct starts a node or a control instance of the product; keys are further lines of its settings.
func startProduct(t *testing.T, role, clientsKey, name string, memoryMB, fds int, keys string, args ...string) product {
	host := crtest.Host()
	at := func(port int) string { return net.JoinHostPort(host, strconv.Itoa(port)) }
	p := product{clients: at(8300), inner: at(8301), admin: at(8302)}
	text := fmt.Sprintf("[%s]\nname = %q\ndomain = \"a\"\nregion = \"nyanda\"\n%s = %q\ninner = %q\nadmin = %q\nsecret = %q\nmemory_mb = %d\nmax_fds = %d\n%s",
		role, name, clientsKey, p.clients, p.inner, p.admin, productSecret, memoryMB, fds, keys)
	p.process = start(t, name, text, fds, append([]string{role}, args...)...)
	return p
}

// startProductNode starts the product's own node; without a control instance at the given address it has no configuration.
func startProductNode(t *testing.T, control string, memoryMB, fds int) product {
	p := startProduct(t, "node", "listen", "ledger-1", memoryMB, fds, fmt.Sprintf("service = \"ledger\"\ncontrol = [%q]\n", control))
	m := &machine{process: p.process}
	m.await(t, "the product's node answers", func() bool { return get(p.clients, "/v1/id", "") == http.StatusOK })
	return p
}

// startControl starts the product's control instance as the only voter of a new cluster.
func startControl(t *testing.T, memoryMB, fds int) product {
	p := startProduct(t, "control", "operator", "control-1", memoryMB, fds, fmt.Sprintf("data_dir = %q\n", t.TempDir()), "--new-cluster")
	m := &machine{process: p.process}
	m.await(t, "the product's control instance answers", func() bool { return command(p.clients) == http.StatusOK })
	return p
}

// command sends an operator's command and returns the status of the answer, 0 if there was none.
func command(address string) int {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+commandPath, strings.NewReader("show leader"))
	if err != nil {
		return 0
	}
	req.Header.Set("Authorization", "Bearer "+productSecret)
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}
