package golden_test

// This file holds the fake shared store, which implements the few RESP2 commands that a router uses.

import (
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/tidwall/redcon"
)

// redisServer is a fake shared store. It records the commands that it receives.
type redisServer struct {
	t       *testing.T
	address string

	mu           sync.Mutex
	commands     [][]string
	storedValues map[string]string
	scores       map[string]float64 // of the only sorted set, the invalidation log
	onLease      func(key string)   // if set, it is called for each lease, which is then refused
	uptime       int                // seconds since it started
}

func newRedisServer(t *testing.T) *redisServer {
	t.Helper()
	listener := listen(t)
	s := &redisServer{
		t: t, address: listener.Addr().String(), storedValues: map[string]string{},
		scores: map[string]float64{}, uptime: 3600,
	}
	go acceptEach(listener, s.serve)
	return s
}

// serve answers the commands on one connection.
func (s *redisServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	for r := redcon.NewReader(conn); ; {
		cmd, err := r.ReadCommand()
		if err != nil {
			return
		}
		if _, err := conn.Write(s.reply(words(s.t, cmd))); err != nil {
			return
		}
	}
}

// reply records a command, executes it and returns the reply.
func (s *redisServer) reply(command []string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commands = append(s.commands, command)
	switch command[0] {
	case "PING":
		return redcon.AppendString(nil, "PONG")
	case "AUTH", "SELECT":
		return redcon.AppendString(nil, "OK")
	case "INFO":
		info := fmt.Sprintf("# Server\r\nrun_id:0123456789abcdef\r\nuptime_in_seconds:%d\r\n", s.uptime)
		return redcon.AppendBulkString(nil, info)
	case "GET":
		if value, known := s.storedValues[command[1]]; known {
			return redcon.AppendBulkString(nil, value)
		}
		return redcon.AppendNull(nil)
	case "SET":
		return s.lease(command[1], command[2])
	case "PSETEX":
		s.storedValues[command[1]] = command[3]
		return redcon.AppendString(nil, "OK")
	case "DEL":
		delete(s.storedValues, command[1])
		return redcon.AppendInt(nil, 1)
	}
	return s.sortedSetReply(command)
}

// lease sets a key unless it is set, and returns the reply.
func (s *redisServer) lease(key, value string) []byte {
	if _, taken := s.storedValues[key]; taken {
		return redcon.AppendNull(nil)
	}
	if s.onLease != nil {
		s.onLease(key)
		return redcon.AppendNull(nil)
	}
	s.storedValues[key] = value
	return redcon.AppendString(nil, "OK")
}

// sortedSetReply executes a command on the sorted set and returns the reply.
func (s *redisServer) sortedSetReply(command []string) []byte {
	switch command[0] {
	case "ZMSCORE":
		b := redcon.AppendArray(nil, len(command)-2)
		for _, member := range command[2:] {
			if score, known := s.scores[member]; known {
				b = redcon.AppendBulkString(b, strconv.FormatFloat(score, 'g', 17, 64))
			} else {
				b = redcon.AppendNull(b)
			}
		}
		return b
	case "ZADD":
		for i := 3; i+1 < len(command); i += 2 {
			score, _ := strconv.ParseFloat(command[i], 64)
			s.scores[command[i+1]] = max(score, s.scores[command[i+1]])
		}
		return redcon.AppendInt(nil, 1)
	case "ZRANGEBYSCORE":
		b := redcon.AppendArray(nil, 2*len(s.scores))
		for _, member := range sortedKeys(s.scores) {
			b = redcon.AppendBulkString(b, member)
			b = redcon.AppendBulkString(b, strconv.FormatFloat(s.scores[member], 'g', 17, 64))
		}
		return b
	case "ZREMRANGEBYSCORE":
		return redcon.AppendInt(nil, 0)
	}
	return redcon.AppendError(nil, fmt.Sprintf("ERR unknown command '%s'", command[0]))
}

// received returns the recorded commands with one of the given verbs.
func (s *redisServer) received(verbs ...string) (list [][]string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, command := range s.commands {
		if slices.Contains(verbs, command[0]) {
			list = append(list, command)
		}
	}
	return list
}

// firstCommands returns the first n recorded commands.
func (s *redisServer) firstCommands(n int) [][]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.commands[:n])
}

// clearCommands discards the recorded commands.
func (s *redisServer) clearCommands() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commands = nil
}

// setValue stores a value.
func (s *redisServer) setValue(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storedValues[key] = value
}

// firstZAdd returns the first recorded ZADD with a member, or nil.
func (s *redisServer) firstZAdd(member string) []string {
	for _, command := range s.received("ZADD") {
		if slices.Contains(command, member) {
			return command
		}
	}
	return nil
}

// normaliseTimes returns a command as text, with placeholders for Unix times in milliseconds, the lifetimes of keys and
// stored values.
func normaliseTimes(command []string) string {
	normalised := slices.Clone(command)
	for i, word := range normalised {
		score := strings.TrimPrefix(word, "(")
		_, err := strconv.ParseUint(score, 10, 64)
		isLifetime := i > 0 && normalised[i-1] == "PX" || i == 2 && normalised[0] == "PSETEX"
		switch {
		case isLifetime && err == nil:
			normalised[i] = "MS"
		case len(score) == len("1764576000123") && err == nil:
			normalised[i] = strings.Replace(word, score, "STAMP", 1)
		case i == 3 && normalised[0] == "PSETEX":
			normalised[i] = "VALUE"
		}
	}
	return fmt.Sprintf("%q\n", normalised)
}
