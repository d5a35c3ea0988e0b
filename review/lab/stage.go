package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// stage holds everything that a case starts.
type stage struct {
	root       string // of the repository
	hasTrouble bool
	folder     string // temporary, removed at the end

	mu       sync.Mutex
	record   *os.File
	start    time.Time
	breaches []string
	checks   int // how many things were judged
	routers  []*router
}

func newStage(root, recordPath string, hasTrouble bool) (*stage, error) {
	folder, err := os.MkdirTemp("", "fennelarch-review-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	created := &stage{root: root, hasTrouble: hasTrouble, folder: folder, record: record, start: time.Now()}
	created.log("trouble: %v", hasTrouble)
	return created, nil
}

// log adds a line to the record, with the milliseconds since the start.
func (s *stage) log(format string, values ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	elapsed := time.Since(s.start).Milliseconds()
	_, _ = fmt.Fprintf(s.record, "%7d %s\n", elapsed, fmt.Sprintf(format, values...))
}

// breach records that the rule was broken.
func (s *stage) breach(format string, values ...any) {
	text := fmt.Sprintf(format, values...)
	s.log("BROKEN: %s", text)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.breaches = append(s.breaches, text)
}

// judged counts one thing that the rule was applied to.
func (s *stage) judged() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.checks++
}

// verdict logs the result and returns the exit code.
func (s *stage) verdict() int {
	s.mu.Lock()
	breaches, checks := len(s.breaches), s.checks
	s.mu.Unlock()
	s.log("judged %d, broken %d", checks, breaches)
	switch {
	case checks == 0:
		s.log("nothing was judged")
		return exitNotRun
	case breaches > 0:
		fmt.Printf("broken: %d of %d, first: %s\n", breaches, checks, s.breaches[0])
		return exitBroken
	}
	fmt.Printf("held: %d judged\n", checks)
	return exitHeld
}

// close ends all routers and removes the temporary folder.
func (s *stage) close() {
	for _, started := range s.routers {
		started.kill()
	}
	_ = os.RemoveAll(s.folder)
}

// router is one router, started by the command of the deploy file.
type router struct {
	stage      *stage
	name       string
	address    string
	configPath string
	command    *exec.Cmd
	ended      chan struct{}
	logFile    *os.File
}

// freeAddress returns a loopback address with a free port.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}

// deployCommand returns a command of the deploy file.
func deployCommand(root, key string) (string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	for line := range strings.Lines(string(text)) {
		if rest, found := strings.CutPrefix(line, key+" = \""); found {
			command, _, _ := strings.Cut(rest, "\"")
			return command, nil
		}
	}
	return "", fmt.Errorf("deploy file: no %s", key)
}

// newRouter prepares a router with a configuration, whose name and listen address are filled in.
func (s *stage) newRouter(config map[string]any) (*router, error) {
	name := fmt.Sprintf("n%d", len(s.routers)+1)
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	created := &router{stage: s, name: name, address: address, configPath: filepath.Join(s.folder, name+".json")}
	s.routers = append(s.routers, created)
	return created, created.writeConfig(config)
}

// writeConfig replaces the router's configuration.
func (r *router) writeConfig(config map[string]any) error {
	config["name"], config["listen"] = r.name, r.address
	text, err := json.Marshal(config)
	if err != nil {
		return err
	}
	temporary := r.configPath + ".new"
	if err := os.WriteFile(temporary, text, 0o600); err != nil {
		return err
	}
	return os.Rename(temporary, r.configPath)
}

// launch starts the router's process and waits until the router answers a ping.
func (r *router) launch() error {
	run, err := deployCommand(r.stage.root, "run")
	if err != nil {
		return err
	}
	r.logFile, err = os.OpenFile(r.configPath+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	r.command = exec.Command("/bin/sh", "-c", run)
	r.command.Dir = r.stage.root
	r.command.Env = append(os.Environ(), "RELAY_CONFIG="+r.configPath, "RELAY_NAME="+r.name, "RELAY_LISTEN="+r.address)
	r.command.Stdout, r.command.Stderr = r.logFile, r.logFile
	if err := r.command.Start(); err != nil {
		return err
	}
	r.ended = make(chan struct{})
	go func() {
		_ = r.command.Wait()
		close(r.ended)
	}()
	return r.awaitReady()
}

// awaitReady waits until the router answers a ping.
func (r *router) awaitReady() error {
	const patience = 10 * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	for ctx.Err() == nil {
		if r.answersPing() {
			r.stage.log("router %s is ready, process %d", r.name, r.command.Process.Pid)
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("router %s is not ready: %s", r.name, r.logTail())
}

func (r *router) answersPing() bool {
	connection, err := net.DialTimeout("tcp", r.address, time.Second)
	if err != nil {
		return false
	}
	defer func() { _ = connection.Close() }()
	_ = connection.SetDeadline(time.Now().Add(time.Second))
	if _, err := connection.Write(frame("PING", "1")); err != nil {
		return false
	}
	words, err := readFrame(newFrameReader(connection))
	return err == nil && len(words) > 1 && words[1] == "UP"
}

// kill ends the router's process at once, if it still runs.
func (r *router) kill() {
	if r.command == nil || r.command.Process == nil {
		return
	}
	select {
	case <-r.ended:
	default:
		_ = r.command.Process.Kill()
		<-r.ended
	}
	_ = r.logFile.Close()
}

// logTail returns the end of the router's log.
func (r *router) logTail() string {
	const most = 2000
	text, _ := os.ReadFile(r.configPath + ".log")
	return string(text[max(0, len(text)-most):])
}

// memoryKB returns the memory of the router's own process, without files, in KB.
func (r *router) memoryKB() int {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.command.Process.Pid))
	for line := range strings.Lines(string(text)) {
		if rest, found := strings.CutPrefix(line, "RssAnon:"); found {
			kilobytes, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kilobytes
		}
	}
	return 0
}

// copyLog adds the router's log to the record.
func (r *router) copyLog() {
	file, err := os.Open(r.configPath + ".log")
	if err != nil {
		return
	}
	defer func() { _ = file.Close() }()
	r.stage.mu.Lock()
	defer r.stage.mu.Unlock()
	_, _ = fmt.Fprintf(r.stage.record, "log of router %s:\n", r.name)
	_, _ = io.Copy(r.stage.record, file)
}
