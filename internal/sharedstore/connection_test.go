package sharedstore

import (
	"fmt"
	"testing"
	"time"

	policy "fennelarch/policy/sharedstore"
)

// A connection sets itself up before it sends other commands, matches replies to commands by their order, and reports
// commands that got no reply.
func Example_connection() {
	bounds, at := testLimits(), time.Unix(0, 0)
	credentials := Credentials{User: "u", Password: "w", Database: 3}
	conn := newConnection(&bounds, credentials, at)
	conn.send(command{kind: commandGet, operation: 1, key: copyKey{object: 7}, args: args("GET", "k")})
	write := func() {
		fmt.Printf("%q\n", conn.pendingOutput(at))
		conn.output.Advance(len(conn.output.Head()))
	}
	read := func(text string) {
		copy(conn.readBuffer(), text)
		err := conn.handleRead(len(text), at.Add(time.Millisecond))
		for _, result := range conn.takeResults() {
			switch r := result.(type) {
			case connectedResult:
				fmt.Println("connected, up for", r.uptime)
			case commandResult:
				fmt.Println("operation", r.command.operation, "reply", r.reply, r.err)
			}
		}
		if err != nil {
			fmt.Println(err)
		}
	}
	write()
	read("+OK\r\n+OK\r\n")
	write()
	read("$34\r\nrun_id:abc\r\nuptime_in_seconds:90\r\n\r\n")
	write()
	for id := policy.OperationID(2); id < 8; id++ {
		conn.send(command{kind: commandAcquireLease, operation: id, args: args("SET")})
	}
	write()
	read("$3\r\nodd\r\n+OK\r\n$-1\r\n-OOM x\r\n-MOVED 1 h:1\r\n-ERR what\r\n")
	conn.close(at)
	read("")
	for _, result := range conn.takeResults() {
		fmt.Println("operation", result.(commandResult).command.operation, "reply", result.(commandResult).reply)
	}
	// Output:
	// "*3\r\n$4\r\nAUTH\r\n$1\r\nu\r\n$1\r\nw\r\n*2\r\n$6\r\nSELECT\r\n$1\r\n3\r\n*2\r\n$4\r\nINFO\r\n$6\r\nserver\r\n"
	// ""
	// connected, up for 1m30s
	// "*2\r\n$3\r\nGET\r\n$1\r\nk\r\n"
	// "*1\r\n$3\r\nSET\r\n*1\r\n$3\r\nSET\r\n*1\r\n$3\r\nSET\r\n*1\r\n$3\r\nSET\r\n*1\r\n$3\r\nSET\r\n*1\r\n$3\r\nSET\r\n"
	// operation 1 reply 3 not a value of this router
	// operation 2 reply 4 <nil>
	// operation 3 reply 5 <nil>
	// operation 4 reply 7 OOM x
	// operation 5 reply 11 MOVED 1 h:1
	// operation 6 reply 12 ERR what
	// operation 7 reply 13 <nil>
}

// The arguments of each command must not change, because operators grant permissions for them.
func TestCommandBytes(t *testing.T) {
	names, key := &keys{"p:"}, copyKey{0xab, 2}
	stored := Copy{Object: 0xab, Part: 2}
	update := policy.LogUpdate{
		Invalidations: []policy.Invalidation{{Object: 0xab, IssuedAt: 30}, {Group: 12, IssuedAt: 40}},
		CompleteFrom:  20, CompleteTo: 50,
	}
	for _, test := range []struct {
		name    string
		command command
		want    string
	}{
		{"get", getCommand(names, 1, key), `["GET" "p:v:ab:2"]`},
		{
			"acquire a lease", acquireLeaseCommand(names, 1, key, 150*time.Millisecond),
			`["SET" "p:l:ab:2" "1" "NX" "PX" "150"]`,
		},
		{"release a lease", releaseLeaseCommand(names, key), `["DEL" "p:l:ab:2"]`},
		{
			"set", setCommand(names, 1, key, time.Microsecond, &stored),
			fmt.Sprintf("%q", [][]byte{[]byte("PSETEX"), []byte("p:v:ab:2"), []byte("1"), stored.Encode(nil)}),
		},
		{"health check", pingCommand(), `["PING"]`},
		{"log range", readLogRangeCommand(names), `["ZMSCORE" "p:purges" "seen" "floor"]`},
		{
			"log page", readLogPageCommand(names, 17),
			`["ZRANGEBYSCORE" "p:purges" "17" "+inf" "WITHSCORES" "LIMIT" "0" "1000"]`,
		},
		{
			"log update", writeLogCommand(names, update),
			`["ZADD" "p:purges" "GT" "30" "o:ab" "40" "g:12" "20" "floor" "50" "seen"]`,
		},
		{"log trim", trimLogCommand(names, 30), `["ZREMRANGEBYSCORE" "p:purges" "-inf" "(30"]`},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := fmt.Sprintf("%q", test.command.args); got != test.want {
				t.Errorf("got %s, want %s", got, test.want)
			}
		})
	}
}
