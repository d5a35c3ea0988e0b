package sharedstore

import (
	"strconv"
	"time"

	policy "fennelarch/policy/sharedstore"
)

// commandKind is the purpose of a command, and determines how its reply is parsed.
type commandKind uint8

const (
	commandSetup commandKind = iota // AUTH or SELECT; an error reply ends the connection
	commandInfo                     // INFO; its reply completes the setup of the connection
	commandGet
	commandAcquireLease
	commandSet
	commandIgnoreReply // any command whose reply is ignored
	commandPing
	commandReadLogRange
	commandReadLogPage
	commandWriteLog
)

// command is a command that is queued for a store or awaits its reply.
type command struct {
	kind      commandKind
	operation policy.OperationID
	key       copyKey
	args      [][]byte // nil once they are in the output; the last one may be large
	sentAt    time.Time
	update    policy.LogUpdate // for commandWriteLog
	fromScore float64          // for commandReadLogPage
}

// logPageMembers is the number of members of the invalidation log that are read at once, which take about 60 KB.
const logPageMembers = 1000

// args converts words to the arguments of a command.
func args(words ...string) [][]byte {
	list := make([][]byte, len(words))
	for i, word := range words {
		list[i] = []byte(word)
	}
	return list
}

// setupCommands returns the commands that set up a new connection. They are sent before any other command.
func setupCommands(credentials Credentials) []command {
	var commands []command
	switch {
	case credentials.Password != "" && credentials.User != "":
		commands = append(commands, command{kind: commandSetup, args: args("AUTH", credentials.User, credentials.Password)})
	case credentials.Password != "":
		commands = append(commands, command{kind: commandSetup, args: args("AUTH", credentials.Password)})
	}
	if credentials.Database > 0 {
		database := strconv.Itoa(credentials.Database)
		commands = append(commands, command{kind: commandSetup, args: args("SELECT", database)})
	}
	return append(commands, command{kind: commandInfo, args: args("INFO", "server")})
}

func getCommand(keys *keys, operation policy.OperationID, key copyKey) command {
	return command{
		kind: commandGet, operation: operation, key: key, args: [][]byte{[]byte("GET"), keys.value(key)},
	}
}

func acquireLeaseCommand(keys *keys, operation policy.OperationID, key copyKey, ttl time.Duration) command {
	return command{
		kind: commandAcquireLease, operation: operation, key: key,
		args: [][]byte{[]byte("SET"), keys.lease(key), []byte("1"), []byte("NX"), []byte("PX"), ttlArg(ttl)},
	}
}

func releaseLeaseCommand(keys *keys, key copyKey) command {
	return command{kind: commandIgnoreReply, args: [][]byte{[]byte("DEL"), keys.lease(key)}}
}

func setCommand(
	keys *keys, operation policy.OperationID, key copyKey, ttl time.Duration, stored *Copy,
) command {
	value := stored.Encode(make([]byte, 0, stored.encodedBytes()))
	return command{
		kind: commandSet, operation: operation, key: key,
		args: [][]byte{[]byte("PSETEX"), keys.value(key), ttlArg(ttl), value},
	}
}

func pingCommand() command { return command{kind: commandPing, args: args("PING")} }

func readLogRangeCommand(keys *keys) command {
	return command{
		kind: commandReadLogRange,
		args: [][]byte{
			[]byte("ZMSCORE"), keys.invalidationLog(), []byte(memberCompleteTo), []byte(memberCompleteFrom),
		},
	}
}

// readLogPageCommand reads a page of the log that starts at a score.
func readLogPageCommand(keys *keys, fromScore float64) command {
	return command{
		kind: commandReadLogPage, fromScore: fromScore,
		args: [][]byte{
			[]byte("ZRANGEBYSCORE"), keys.invalidationLog(),
			strconv.AppendFloat(nil, fromScore, 'f', -1, 64), []byte("+inf"),
			[]byte("WITHSCORES"), []byte("LIMIT"), []byte("0"), strconv.AppendInt(nil, logPageMembers, 10),
		},
	}
}

// writeLogCommand writes an update of the log. With GT a score can only increase, so routers may write in any order.
func writeLogCommand(keys *keys, update policy.LogUpdate) command {
	list := [][]byte{[]byte("ZADD"), keys.invalidationLog(), []byte("GT")}
	add := func(score policy.Timestamp, member []byte) {
		list = append(list, timestampArg(score), member)
	}
	for _, entry := range update.Invalidations {
		add(entry.IssuedAt, appendMember(nil, entry))
	}
	if update.CompleteFrom > 0 {
		add(update.CompleteFrom, []byte(memberCompleteFrom))
	}
	if update.CompleteTo > 0 {
		add(update.CompleteTo, []byte(memberCompleteTo))
	}
	// The entries share memory with the coordinator's log. Their capacity is clipped, so that an append to them cannot
	// overwrite later entries of the log. The log may move its entries, so from here on only their number is used.
	update.Invalidations = update.Invalidations[:len(update.Invalidations):len(update.Invalidations)]
	return command{kind: commandWriteLog, args: list, update: update}
}

// trimLogCommand removes the members of the log that are older than a timestamp.
func trimLogCommand(keys *keys, before policy.Timestamp) command {
	exclusive := append([]byte{'('}, timestampArg(before)...)
	return command{
		kind: commandIgnoreReply,
		args: [][]byte{[]byte("ZREMRANGEBYSCORE"), keys.invalidationLog(), []byte("-inf"), exclusive},
	}
}

func timestampArg(timestamp policy.Timestamp) []byte {
	return strconv.AppendInt(nil, int64(timestamp), 10)
}

// ttlArg formats a time to live, which stores expect in milliseconds and reject if it is 0.
func ttlArg(ttl time.Duration) []byte {
	return strconv.AppendInt(nil, max(1, ttl.Milliseconds()), 10)
}
