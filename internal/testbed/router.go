// Package lab plays seeded scripts against real routers among stand-ins on loopback, and judges them by what stand-ins
// and clients saw. This file owns the routers: their configuration, their processes, and what the system says of those.
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
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Settings are what all routers of a scene are told of their deployment.
type Settings struct {
	Routers   int
	Direct    bool
	Grace     time.Duration // of drains and purges
	FreshMS   float64       // of a clip, 0: until purged
	FlowKB    float64
	MemoryMB  int
	Sockets   int
	DueMS     float64
	HardMS    float64
	ColdMS    float64
	ColdShare float64

	Change func(settings map[string]any) // if set, changes what all routers are told
}

// Usual are settings of a middling site.
func Usual(routers int) Settings {
	return Settings{
		Routers: routers, Direct: true, Grace: time.Second, FlowKB: 5000, MemoryMB: 192, Sockets: 1024, DueMS: 400,
		HardMS: 5000, ColdMS: 10000, ColdShare: 0.3,
	}
}

func (s Settings) text() map[string]any {
	text := s.usual()
	if s.Change != nil {
		s.Change(text)
	}
	return text
}

func (s Settings) usual() map[string]any {
	return map[string]any{
		"az": 0, "dcs": []string{"west"}, "shapes": []string{"box", "parent", "origin"}, "n_instances": s.Routers,
		"registry_mode": "automatic", "weight_source": "rough",
		"classes": []map[string]any{
			{
				"name": "clip", "target_ms": s.DueMS, "aim_stretch": 1.6, "deadline_ms": s.HardMS, "importance": 2, "late_worth": 0.15,
				"effect": "retryable",
			},
			{"name": "signoff", "target_ms": 700, "deadline_ms": 3000, "importance": 3, "effect": "fragile"},
		},
		"caps": map[string]any{
			"cancelling": true, "conn_idle_ms": 30000, "connect_timeout_ms": 400, "max_retry_after_ms": 1000,
			"most_tries": 6, "multiplex": 100, "probes": true, "retry_after": true, "second_copies": true,
		},
		"report": map[string]any{"columns": []string{"cpu_share"}, "via": "probe"},
		"rules": map[string]any{
			"drain_grace_ms": s.Grace.Milliseconds(), "start_capacity": s.ColdShare, "cold_ms": s.ColdMS,
			"fall_multiple": 2.5, "overload_for_ms": 3000,
		},
		"specifics": map[string]any{
			"class_write": []bool{false, true}, "flow_kb_per_s": s.FlowKB, "gone_everywhere_ms": 1000,
			"lifetime_by_class_ms": []float64{s.FreshMS, 0}, "may_pass_by": s.Direct, "neighbours": "any", "parent_floor": 1,
			"parent_ramp_ms": 1, "upper_fall_multiple": 2, "purge_grace_ms": s.Grace.Milliseconds(), "root_kind": 2,
			"second_tier_kind": 1, "says": "all", "seats_by_zone": []int{s.Routers}, "origin_limit_factor": 2.5, "origin_bears_ms": 3000,
		},
	}
}

// Router is one router's process.
type Router struct {
	Name    string
	Address string

	Env     []string // of the process, besides this one's
	secure  bool     // it speaks TLS
	program string
	folder  string
	args    []string
	mu      sync.Mutex
	cmd     *exec.Cmd
	log     bytes.Buffer
	ended   chan struct{}
	Started time.Time
	Killed  time.Time // zero: it was not
}

// Program finds the built router beside this program, or where FENNELARCH says.
func Program() (string, error) {
	if p := os.Getenv("FENNELARCH"); p != "" {
		return p, nil
	}
	self, err := os.Executable()
	if err != nil {
		return "", err
	}
	p := filepath.Join(filepath.Dir(self), "fennelarch")
	if _, err := os.Stat(p); err != nil {
		return "", fmt.Errorf("the router is not built beside this program: %w", err)
	}
	return p, nil
}

// NewRouter writes a router's configuration into a folder; known is the bulletin so far. An operator's file is given by
// its text, none by "".
func NewRouter(program, folder, name string, seed uint64, s Settings, bulletin, known, operator string) (*Router, error) {
	ln, err := net.Listen("tcp", ownAddress()+":0")
	if err != nil {
		return nil, err
	}
	r := &Router{Name: name, Address: ln.Addr().String(), program: program, folder: folder, args: []string{"serve"}}
	_ = ln.Close()
	if operator != "" {
		path := filepath.Join(folder, name+".operator.json")
		if err := os.WriteFile(path, []byte(operator), 0o600); err != nil {
			return nil, err
		}
		r.args = append(r.args, "--operator", path)
	}
	return r, r.Configure(seed, s, bulletin, known)
}

var routersMade atomic.Uint32

// ownAddress is a loopback address for one router of this process alone: while it is down, nobody else can take its port, and no
// client can meet itself there.
func ownAddress() string {
	n := uint32(os.Getpid())<<8 + routersMade.Add(1)
	return fmt.Sprintf("127.%d.%d.%d", 16+n>>16&0x7f, n>>8&0xff, 1+n&0x7f)
}

// Configure writes the configuration anew.
func (r *Router) Configure(seed uint64, s Settings, bulletin, known string) error {
	text, err := json.Marshal(map[string]any{
		"name": r.Name, "listen": r.Address, "seed": fmt.Sprintf("%016x", seed),
		"limits":   map[string]any{"cores": 1.0, "memory_mb": s.MemoryMB, "sockets": s.Sockets},
		"bulletin": bulletin, "known": json.RawMessage(known), "settings": s.text(),
	})
	if err != nil {
		return err
	}
	return os.WriteFile(r.config(), text, 0o600)
}

func (r *Router) config() string { return filepath.Join(r.folder, r.Name+".json") }

// Start starts the process and waits until it answers PING with UP.
func (r *Router) Start() error {
	cmd := exec.Command(r.program, r.args...)
	if n := tight.Load(); n > 0 { // the shell takes the bound upon itself and becomes the router
		cmd = exec.Command("/bin/sh", append([]string{"-c", fmt.Sprintf(`ulimit -n %d; exec "$0" "$@"`, n), r.program}, r.args...)...)
	}
	cmd.Env = append(os.Environ(), "RELAY_CONFIG="+r.config(), "RELAY_OPERATOR=")
	cmd.Env = append(cmd.Env, r.Env...)
	cmd.Stderr = &lockedWriter{r: r}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	r.mu.Lock()
	r.cmd, r.ended, r.Started = cmd, ended, time.Now()
	r.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		select {
		case <-ended:
			return fmt.Errorf("%s ended at its start: %s", r.Name, r.Log())
		default:
		}
		if up(r.Address, r.secure) == nil {
			return nil
		}
	}
	return errors.New(r.Name + " does not answer")
}

func up(address string, secure bool) error {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(time.Second))
	if secure {
		return nil
	}
	if _, err := c.Write(frame("PING", "1")); err != nil {
		return err
	}
	_, err = c.Read(make([]byte, 64))
	return err
}

type lockedWriter struct{ r *Router }

func (w *lockedWriter) Write(p []byte) (int, error) {
	w.r.mu.Lock()
	defer w.r.mu.Unlock()
	return w.r.log.Write(p)
}

// PID is its process's id.
func (r *Router) PID() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cmd.Process.Pid
}

// Ended is closed once its process has ended.
func (r *Router) Ended() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ended
}

// Log is what it wrote so far.
func (r *Router) Log() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.log.String()
}

// Signal sends its process a signal.
func (r *Router) Signal(s syscall.Signal) { _ = r.cmd.Process.Signal(s) }

// Kill ends it at once.
func (r *Router) Kill() {
	r.Killed = time.Now()
	_ = r.cmd.Process.Kill()
	<-r.ended
}

// Stop asks it to end, and waits; an error says that it crashed or did not end.
func (r *Router) Stop() error {
	select {
	case <-r.ended:
		if r.Killed.IsZero() {
			return fmt.Errorf("%s ended by itself: %s", r.Name, tail(r.Log(), 2000))
		}
		return nil
	default:
	}
	r.Signal(syscall.SIGTERM)
	select {
	case <-r.ended:
	case <-time.After(6 * time.Second):
		_ = r.cmd.Process.Kill()
		<-r.ended
		return errors.New(r.Name + " did not end")
	}
	if text := r.Log(); strings.Contains(text, "panic") || strings.Contains(text, "DATA RACE") {
		return fmt.Errorf("%s: %s", r.Name, tail(text, 2000))
	}
	return nil
}

func tail(s string, n int) string { return s[max(0, len(s)-n):] }

// Use is what the system says that a process has used.
type Use struct {
	CPU    time.Duration
	PeakMB float64
	Files  int
}

// Use reads what the process uses now.
func (r *Router) Use() (u Use) {
	pid := r.cmd.Process.Pid
	if stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid)); err == nil {
		_, rest, _ := strings.Cut(string(stat), ") ")
		if f := strings.Fields(rest); len(f) > 12 {
			user, _ := strconv.Atoi(f[11])
			system, _ := strconv.Atoi(f[12])
			u.CPU = time.Duration(user+system) * 10 * time.Millisecond
		}
	}
	if status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid)); err == nil {
		for line := range strings.Lines(string(status)) {
			if kb, is := strings.CutPrefix(line, "VmHWM:"); is {
				n, _ := strconv.Atoi(strings.Fields(kb)[0])
				u.PeakMB = float64(n) / 1024
			}
		}
	}
	if files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid)); err == nil {
		u.Files = len(files)
	}
	return u
}
