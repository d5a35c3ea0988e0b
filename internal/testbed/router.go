package testbed

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// readyTimeout is how long a router may take to answer after its start, stopTimeout how long to end after SIGTERM.
	readyTimeout = 5 * time.Second
	stopTimeout  = 6 * time.Second
	// healthTimeout is the timeout of one health check.
	healthTimeout = time.Second
	// logTailBytes is the length of the end of a log that an error includes.
	logTailBytes = 2000
)

// RouterOptions configures a router's process.
type RouterOptions struct {
	Program         string
	Folder          string // of the configuration files
	Name            string
	OperatorFile    string   // text of the operator's file; "": none
	Environment     []string // variables in addition to those of this process
	DescriptorLimit int      // 0: the system's limit
	SpeaksTLS       bool     // clients connect with TLS
}

// Configuration is the part of a router's configuration that depends on the cluster.
type Configuration struct {
	Seed             uint64
	Settings         Settings
	DiscoveryAddress string
	KnownEvents      string // discovery events so far
}

// Router is the process of a router.
type Router struct {
	Name    string
	Address string

	options RouterOptions
	args    []string

	mu       sync.Mutex
	cmd      *exec.Cmd
	log      bytes.Buffer
	ended    chan struct{} // closed once the process has ended
	killedAt time.Time     // when Kill was called after the last start; zero: not killed
}

// FindProgram returns the path of the router's program: the value of FENNELARCH or, if that is empty, the program
// fennelarch in the folder of the running program.
func FindProgram() (string, error) {
	if path := os.Getenv("FENNELARCH"); path != "" {
		return path, nil
	}
	self, err := os.Executable()
	if err != nil {
		return "", err
	}
	path := filepath.Join(filepath.Dir(self), "fennelarch")
	if _, err := os.Stat(path); err != nil {
		return "", fmt.Errorf("the router's program is not in the folder of this program: %w", err)
	}
	return path, nil
}

// NewRouter picks a router's address and writes its configuration files. It does not start the router.
func NewRouter(options RouterOptions, configuration Configuration) (*Router, error) {
	listener, err := net.Listen("tcp", uniqueLoopbackAddress()+":0")
	if err != nil {
		return nil, err
	}
	r := &Router{Name: options.Name, Address: listener.Addr().String(), options: options, args: []string{"serve"}}
	_ = listener.Close()
	if options.OperatorFile != "" {
		path := filepath.Join(options.Folder, options.Name+".operator.json")
		if err := os.WriteFile(path, []byte(options.OperatorFile), 0o600); err != nil {
			return nil, err
		}
		r.args = append(r.args, "--operator", path)
	}
	return r, r.Configure(configuration)
}

// successor returns a router that replaces one whose process has ended, with the same name and address.
func (r *Router) successor() *Router {
	return &Router{Name: r.Name, Address: r.Address, options: r.options, args: r.args}
}

var routersCreated atomic.Uint32

// uniqueLoopbackAddress returns a loopback address that only one router of this process uses. While the router is down,
// no other process can take its port, and no client can connect to itself at its address.
func uniqueLoopbackAddress() string {
	n := uint32(os.Getpid())<<8 + routersCreated.Add(1)
	return fmt.Sprintf("127.%d.%d.%d", 16+n>>16&0x7f, n>>8&0xff, 1+n&0x7f)
}

// Configure writes the configuration file and replaces an existing one.
func (r *Router) Configure(configuration Configuration) error {
	settings := &configuration.Settings
	text, err := json.Marshal(map[string]any{
		"name": r.Name, "listen": r.Address, "seed": fmt.Sprintf("%016x", configuration.Seed),
		"limits":           map[string]any{"cores": 1.0, "memory_mb": settings.MemoryMB, "sockets": settings.Sockets},
		"flow_bytes_per_s": settings.LocalFlowBytes, "link_bytes_per_s": 4 * settings.LocalFlowBytes,
		"bulletin": configuration.DiscoveryAddress, "known": json.RawMessage(configuration.KnownEvents),
		"settings": settings.encode(),
	})
	if err != nil {
		return err
	}
	return os.WriteFile(r.configPath(), text, 0o600)
}

func (r *Router) configPath() string { return filepath.Join(r.options.Folder, r.Name+".json") }

// Start starts the process and waits until it answers a ping.
func (r *Router) Start() error {
	cmd := r.command()
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	r.mu.Lock()
	r.cmd, r.ended, r.killedAt = cmd, ended, time.Time{}
	r.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		select {
		case <-ended:
			return fmt.Errorf("%s ended during its start: %s", r.Name, r.Log())
		default:
		}
		if r.checkHealth() == nil {
			return nil
		}
	}
	return errors.New(r.Name + " did not answer within the timeout after its start")
}

func (r *Router) command() *exec.Cmd {
	cmd := exec.Command(r.options.Program, r.args...)
	if limit := r.options.DescriptorLimit; limit > 0 { // the shell sets its own limit, then executes the router
		script := fmt.Sprintf(`ulimit -n %d; exec "$0" "$@"`, limit)
		cmd = exec.Command("/bin/sh", append([]string{"-c", script, r.options.Program}, r.args...)...)
	}
	cmd.Env = append(os.Environ(), "RELAY_CONFIG="+r.configPath(), "RELAY_OPERATOR=")
	cmd.Env = append(cmd.Env, r.options.Environment...)
	cmd.Stderr = &logWriter{router: r}
	return cmd
}

// checkHealth checks that the router answers a ping. With TLS, it checks only that the router accepts a connection.
func (r *Router) checkHealth() error {
	connection, err := net.DialTimeout("tcp", r.Address, healthTimeout)
	if err != nil {
		return err
	}
	defer func() { _ = connection.Close() }()
	_ = connection.SetDeadline(time.Now().Add(healthTimeout))
	if r.options.SpeaksTLS {
		return nil
	}
	if _, err := connection.Write(PingFrame("1")); err != nil {
		return err
	}
	_, err = connection.Read(make([]byte, 64))
	return err
}

// logWriter appends to a router's log.
type logWriter struct{ router *Router }

func (w *logWriter) Write(text []byte) (int, error) {
	w.router.mu.Lock()
	defer w.router.mu.Unlock()
	return w.router.log.Write(text)
}

// PID returns the process ID.
func (r *Router) PID() int { return r.process().Pid }

func (r *Router) process() *os.Process {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cmd.Process
}

// Ended returns a channel that is closed once the process has ended.
func (r *Router) Ended() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ended
}

// Log returns everything that the router has logged so far.
func (r *Router) Log() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.log.String()
}

// Signal sends a signal to the process.
func (r *Router) Signal(signal syscall.Signal) { _ = r.process().Signal(signal) }

// Kill kills the process and waits until it has ended.
func (r *Router) Kill() {
	r.mu.Lock()
	r.killedAt = time.Now()
	r.mu.Unlock()
	_ = r.process().Kill()
	<-r.Ended()
}

// WasKilled reports whether the process was killed by Kill.
func (r *Router) WasKilled() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.killedAt.IsZero()
}

// Stop sends SIGTERM and waits until the process has ended. It returns an error if the router crashed or did not end.
func (r *Router) Stop() error {
	select {
	case <-r.Ended():
		if !r.WasKilled() {
			return fmt.Errorf("%s ended unexpectedly: %s", r.Name, r.logTail())
		}
		return nil
	default:
	}
	r.Signal(syscall.SIGTERM)
	select {
	case <-r.Ended():
	case <-time.After(stopTimeout):
		_ = r.process().Kill()
		<-r.Ended()
		return errors.New(r.Name + " did not end within the timeout after SIGTERM")
	}
	if log := r.Log(); strings.Contains(log, "panic") || strings.Contains(log, "DATA RACE") {
		return fmt.Errorf("%s logged a panic or a data race: %s", r.Name, r.logTail())
	}
	return nil
}

func (r *Router) logTail() string {
	log := r.Log()
	return log[max(0, len(log)-logTailBytes):]
}
