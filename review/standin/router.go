package standin

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

const readyWithin = 10 * time.Second

var (
	errNoRunLine = errors.New("deploy/balancer.toml has no line for run")
	errNotReady  = errors.New("the router is not ready in time")
)

// Router is the process of a router.
type Router struct {
	Address string

	folder  string
	command *exec.Cmd
	ended   chan error
}

// RouterOptions configures a router.
type RouterOptions struct {
	Folder    string // for its files
	Discovery *Discovery
	Settings  map[string]any
	Extra     map[string]any // further keys of the configuration
	Operator  map[string]any // the operator's file, nil: none
}

// StartRouter starts a router by the line run of the deploy file, and waits until it answers.
func StartRouter(options RouterOptions) (*Router, error) {
	run, err := runLine()
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", ownAddress()+":0")
	if err != nil {
		return nil, err
	}
	r := &Router{Address: listener.Addr().String(), folder: options.Folder, ended: make(chan error, 1)}
	_ = listener.Close()
	environment, err := r.writeFiles(&options)
	if err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(options.Folder, "router.log"))
	if err != nil {
		return nil, err
	}
	r.command = exec.Command("/bin/sh", "-c", run)
	r.command.Env = append(os.Environ(), environment...)
	r.command.Stdout, r.command.Stderr = log, log
	if err := r.command.Start(); err != nil {
		return nil, err
	}
	go func() { r.ended <- r.command.Wait() }()
	for end := time.Now().Add(readyWithin); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		client, err := Dial(r.Address)
		if err != nil {
			continue
		}
		isUp := client.Ping()
		client.Close()
		if isUp {
			return r, nil
		}
	}
	r.Kill()
	return nil, errNotReady
}

// ownAddress returns a loopback address that hardly any other process uses, so that no other connection takes the port
// between its choice and the router's start.
func ownAddress() string {
	return fmt.Sprintf("127.%d.%d.%d", 16+rand.IntN(100), rand.IntN(256), 1+rand.IntN(250))
}

func runLine() (string, error) {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	for line := range strings.Lines(string(text)) {
		if rest, found := strings.CutPrefix(line, `run = "`); found {
			run, _, _ := strings.Cut(rest, `"`)
			return run, nil
		}
	}
	return "", errNoRunLine
}

func (r *Router) writeFiles(options *RouterOptions) (environment []string, err error) {
	configuration := map[string]any{
		"name": "n0", "listen": r.Address, "seed": NewID(),
		"limits":   map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"bulletin": options.Discovery.Address, "known": options.Discovery.Page(0), "settings": options.Settings,
	}
	for key, value := range options.Extra {
		configuration[key] = value
	}
	path := filepath.Join(options.Folder, "config.json")
	environment = []string{"RELAY_CONFIG=" + path}
	if err := writeJSON(path, configuration); err != nil || options.Operator == nil {
		return environment, err
	}
	path = filepath.Join(options.Folder, "operator.json")
	return append(environment, "RELAY_OPERATOR="+path), writeJSON(path, options.Operator)
}

func writeJSON(path string, value any) error {
	text, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o600)
}

// MemoryKB returns the memory that is the process's alone (RssAnon), or 0 once the process has ended.
func (r *Router) MemoryKB() int {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.command.Process.Pid))
	for line := range strings.Lines(string(text)) {
		if rest, found := strings.CutPrefix(line, "RssAnon:"); found {
			memory, _ := strconv.Atoi(strings.Fields(rest)[0])
			return memory
		}
	}
	return 0
}

// HasEnded reports whether the process has ended.
func (r *Router) HasEnded() bool {
	select {
	case err := <-r.ended:
		r.ended <- err
		return true
	default:
		return false
	}
}

// Kill kills the process and waits for its end.
func (r *Router) Kill() {
	_ = r.command.Process.Kill()
	err := <-r.ended
	r.ended <- err
}

// Log returns what the router has logged.
func (r *Router) Log() string {
	text, _ := os.ReadFile(filepath.Join(r.folder, "router.log"))
	return string(text)
}
