package redis

import (
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"fennelarch/internal/resp"
)

func startStore(t *testing.T, config Config) *Store {
	t.Helper()
	store, err := Start(config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(store.Close)
	return store
}

func connect(t *testing.T, store *Store) net.Conn {
	t.Helper()
	socket, err := net.Dial("tcp", store.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = socket.Close() })
	_ = socket.SetDeadline(time.Now().Add(10 * time.Second))
	return socket
}

// expectAnswer sends a command and checks every byte of the answer.
func expectAnswer(t *testing.T, socket net.Conn, command, answer string) {
	t.Helper()
	if _, err := socket.Write(resp.AppendStrings(nil, strings.Fields(command)...)); err != nil {
		t.Fatal(err)
	}
	got := make([]byte, len(answer))
	if n, err := io.ReadFull(socket, got); err != nil || string(got) != answer {
		t.Fatalf("%s: answer %q, error %v, want %q", command, got[:n], err, answer)
	}
}

func TestCommands(t *testing.T) {
	socket := connect(t, startStore(t, Config{}))
	for _, step := range []struct{ command, answer string }{
		{"PING", "+PONG\r\n"},
		{"SELECT 1", "+OK\r\n"},
		{"GET", "-ERR wrong number of arguments for 'get' command\r\n"},
		{"EVAL x", "-ERR unknown command 'EVAL'\r\n"},
		{"GET k", "$-1\r\n"},
		{"SET k v", "+OK\r\n"},
		{"SET k w NX", "$-1\r\n"},
		{"SET k w XX", "-ERR syntax error\r\n"},
		{"SET k w PX 0", "-ERR invalid expire time in 'set' command\r\n"},
		{"SET k w PX", "-ERR syntax error\r\n"},
		{"GET k", "$1\r\nv\r\n"},
		{"PSETEX k -1 w", "-ERR invalid expire time in 'psetex' command\r\n"},
		{"PSETEX k 60000 w", "+OK\r\n"},
		{"GET k", "$1\r\nw\r\n"},
		{"ZADD z 1 a 2 b 2 c", ":3\r\n"},
		{"ZADD z GT 0 a 3 b", ":0\r\n"},
		{"ZADD z 1", "-ERR wrong number of arguments for 'zadd' command\r\n"},
		{"ZADD z 1 a 2", "-ERR syntax error\r\n"},
		{"ZADD z one a", "-ERR value is not a valid float\r\n"},
		{"ZMSCORE z a b x", "*3\r\n$1\r\n1\r\n$1\r\n3\r\n$-1\r\n"},
		{"ZRANGEBYSCORE z -inf +inf", "*3\r\n$1\r\na\r\n$1\r\nc\r\n$1\r\nb\r\n"},
		{"ZRANGEBYSCORE z (1 3 WITHSCORES LIMIT 0 1", "*2\r\n$1\r\nc\r\n$1\r\n2\r\n"},
		{"ZRANGEBYSCORE z 1 (3 LIMIT 1 5", "*1\r\n$1\r\nc\r\n"},
		{"ZRANGEBYSCORE z -inf +inf LIMIT 1 -1", "*2\r\n$1\r\nc\r\n$1\r\nb\r\n"},
		{"ZRANGEBYSCORE z -inf +inf LIMIT -1 5", "*0\r\n"},
		{"ZRANGEBYSCORE z -inf +inf LIMIT 9 5", "*0\r\n"},
		{"ZREMRANGEBYSCORE z -inf (3", ":2\r\n"},
		{"DEL k z x", ":2\r\n"},
		{"ZMSCORE z b", "*1\r\n$-1\r\n"},
	} {
		expectAnswer(t, socket, step.command, step.answer)
	}
}

func TestExpiry(t *testing.T) {
	socket := connect(t, startStore(t, Config{}))
	expectAnswer(t, socket, "SET k v PX 20", "+OK\r\n")
	expectAnswer(t, socket, "GET k", "$1\r\nv\r\n")
	time.Sleep(30 * time.Millisecond)
	expectAnswer(t, socket, "GET k", "$-1\r\n")
	expectAnswer(t, socket, "SET k v NX", "+OK\r\n")
}

func TestAuthentication(t *testing.T) {
	store := startStore(t, Config{User: "router", Password: "secret"})
	socket := connect(t, store)
	expectAnswer(t, socket, "GET k", "-NOAUTH Authentication required.\r\n")
	expectAnswer(t, socket, "AUTH secret", "-WRONGPASS invalid username-password pair or user is disabled.\r\n")
	expectAnswer(t, socket, "AUTH router secret", "+OK\r\n")
	expectAnswer(t, socket, "GET k", "$-1\r\n")
	expectAnswer(t, connect(t, store), "GET k", "-NOAUTH Authentication required.\r\n")
}

// The least recently used value is evicted when the memory limit is exceeded.
func TestEviction(t *testing.T) {
	store := startStore(t, Config{MaxValueBytes: 6})
	socket := connect(t, store)
	expectAnswer(t, socket, "SET a 12", "+OK\r\n")
	expectAnswer(t, socket, "SET b 12", "+OK\r\n")
	expectAnswer(t, socket, "GET a", "$2\r\n12\r\n")
	expectAnswer(t, socket, "SET c 12", "+OK\r\n")
	expectAnswer(t, socket, "GET b", "$-1\r\n")
	expectAnswer(t, socket, "GET a", "$2\r\n12\r\n")
	counts := store.Counts()
	if counts.Evicted != 1 || counts.Keys != 2 || counts.Hits != 2 || counts.Commands != 6 || store.ValueCommands() != 6 {
		t.Errorf("counts %+v, want 1 evicted, 2 keys, 2 hits and 6 commands, all of them on values", counts)
	}
}

// A restart from the snapshot restores the data that was saved. A plain restart loses all data.
func TestRestart(t *testing.T) {
	store := startStore(t, Config{})
	socket := connect(t, store)
	expectAnswer(t, socket, "SET k v", "+OK\r\n")
	expectAnswer(t, socket, "ZADD z 1 a", ":1\r\n")
	store.Save()
	expectAnswer(t, socket, "SET k w", "+OK\r\n")
	address := store.Address()
	store.Crash()
	if _, err := socket.Read(make([]byte, 1)); err == nil {
		t.Error("a connection is still open after the crash")
	}
	if err := store.RestartFromSnapshot(); err != nil || store.Address() != address {
		t.Fatalf("restart: error %v, address %s, want the address before the crash", err, store.Address())
	}
	socket = connect(t, store)
	expectAnswer(t, socket, "GET k", "$1\r\nv\r\n")
	expectAnswer(t, socket, "ZMSCORE z a", "*1\r\n$1\r\n1\r\n")
	store.DropSets()
	expectAnswer(t, socket, "ZMSCORE z a", "*1\r\n$-1\r\n")
	store.Crash()
	if err := store.Restart(); err != nil {
		t.Fatal(err)
	}
	expectAnswer(t, connect(t, store), "GET k", "$-1\r\n")
}

func TestFaults(t *testing.T) {
	const length = "$10\r\n"
	for name, test := range map[string]struct {
		fault  Fault
		answer string
	}{
		"none":                   {Fault{}, length + "0123456789\r\n"},
		"error":                  {Fault{ErrorReply: "BUSY"}, "-BUSY\r\n"},
		"error of other command": {Fault{ErrorReply: "BUSY", Verbs: []string{"SET"}}, length + "0123456789\r\n"},
		"bit flipped":            {Fault{Corruption: BitFlipped}, length + "01234%6789\r\n"},
		"truncated":              {Fault{Corruption: Truncated}, "$5\r\n01234\r\n"},
		"foreign":                {Fault{Corruption: ForeignValue}, "$19\r\n{\"somebody\":\"else\"}\r\n"},
		"newer format":           {Fault{Corruption: NewerFormat}, length + "0133456789\r\n"},
		"wrong length":           {Fault{WrongLength: true}, "$1048586\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			store := startStore(t, Config{})
			socket := connect(t, store)
			expectAnswer(t, socket, "SET k 0123456789", "+OK\r\n")
			store.SetFault(test.fault)
			expectAnswer(t, socket, "GET k", test.answer)
		})
	}
}

// Each of these faults ends the connection: a reset in the middle of a value, a silent store, and a store that has too
// many clients.
func TestFaultsThatEndConnections(t *testing.T) {
	for name, test := range map[string]struct {
		fault Fault
		want  string // received before the connection ends
	}{
		"reset":            {Fault{ResetDuringValue: true}, "$10\r\n0"},
		"silent":           {Fault{Silent: true}, ""},
		"too many clients": {Fault{TooManyClients: true}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			store := startStore(t, Config{})
			socket := connect(t, store)
			expectAnswer(t, socket, "SET k 0123456789", "+OK\r\n")
			store.SetFault(test.fault)
			_, _ = socket.Write(resp.AppendStrings(nil, "GET", "k"))
			if test.fault.Silent {
				time.AfterFunc(50*time.Millisecond, func() { store.SetFault(Fault{}) })
			}
			got, err := io.ReadAll(socket)
			var timeout net.Error
			if string(got) != test.want || errors.As(err, &timeout) && timeout.Timeout() {
				t.Errorf("received %q, error %v", got, err)
			}
			if test.fault.TooManyClients {
				expectAnswer(t, connect(t, store), "PING", "-ERR max number of clients reached\r\n")
			}
		})
	}
}

// The load of a cold store is measured against its capacity at that time.
func TestPeak(t *testing.T) {
	store := startStore(t, Config{CommandsPerSecond: 100, ColdCapacityShare: 0.5, WarmUpTime: time.Hour})
	socket := connect(t, store)
	for range 25 {
		expectAnswer(t, socket, "PING", "+PONG\r\n")
	}
	if peak := store.Counts().PeakLoad; peak < 0.4 || peak > 0.6 {
		t.Errorf("25 commands in a second with a capacity of 50: load %v, want 0.4 to 0.6", peak)
	}
}
