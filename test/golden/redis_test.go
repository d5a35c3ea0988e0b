package golden_test

// This file holds the stand-in of a shared store: the few commands of RESP2 that a router uses.

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

// redisServer is a stand-in of a shared store. It keeps what it was asked.
type redisServer struct {
	t       *testing.T
	address string

	mu       sync.Mutex
	commands [][]string
	values   map[string]string
	scores   map[string]float64 // of the one sorted set
	leased   func(key string)   // if set, leases are refused after it was called
	uptime   int                // seconds since it started
}

func newRedisServer(t *testing.T) *redisServer {
	t.Helper()
	listener := listen(t)
	s := &redisServer{
		t: t, address: listener.Addr().String(), values: map[string]string{},
		scores: map[string]float64{}, uptime: 3600,
	}
	go acceptEach(listener, s.serve)
	return s
}

// serve answers one connection.
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

// reply notes a command and obeys it.
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
		if value, known := s.values[command[1]]; known {
			return redcon.AppendBulkString(nil, value)
		}
		return redcon.AppendNull(nil)
	case "SET":
		return s.lease(command[1], command[2])
	case "PSETEX":
		s.values[command[1]] = command[3]
		return redcon.AppendString(nil, "OK")
	case "DEL":
		delete(s.values, command[1])
		return redcon.AppendInt(nil, 1)
	}
	return s.ledgerReply(command)
}

// lease sets a key that is not set.
func (s *redisServer) lease(key, value string) []byte {
	if _, taken := s.values[key]; taken {
		return redcon.AppendNull(nil)
	}
	if s.leased != nil {
		s.leased(key)
		return redcon.AppendNull(nil)
	}
	s.values[key] = value
	return redcon.AppendString(nil, "OK")
}

// ledgerReply obeys the commands on the sorted set.
func (s *redisServer) ledgerReply(command []string) []byte {
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

// asked are the commands so far whose first words are these.
func (s *redisServer) asked(verbs ...string) (list [][]string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, command := range s.commands {
		if slices.Contains(verbs, command[0]) {
			list = append(list, command)
		}
	}
	return list
}

// first are the first commands.
func (s *redisServer) first(n int) [][]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.commands[:n])
}

// forget empties the list of commands.
func (s *redisServer) forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commands = nil
}

// put sets a value.
func (s *redisServer) put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.values[key] = value
}

// withMember finds the first ZADD that holds a member.
func (s *redisServer) withMember(member string) []string {
	for _, command := range s.asked("ZADD") {
		if slices.Contains(command, member) {
			return command
		}
	}
	return nil
}

// stamped shows a command with the times in it normalised: Unix milliseconds, and how long a key lives.
func stamped(command []string) string {
	shown := slices.Clone(command)
	for i, word := range shown {
		score := strings.TrimPrefix(word, "(")
		_, err := strconv.ParseUint(score, 10, 64)
		lives := i > 0 && shown[i-1] == "PX" || i == 2 && shown[0] == "PSETEX"
		switch {
		case lives && err == nil:
			shown[i] = "MS"
		case len(score) == len("1764576000123") && err == nil:
			shown[i] = strings.Replace(word, score, "STAMP", 1)
		case i == 3 && shown[0] == "PSETEX":
			shown[i] = "VALUE"
		}
	}
	return fmt.Sprintf("%q\n", shown)
}
