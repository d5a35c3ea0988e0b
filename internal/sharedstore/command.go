package sharedstore

import (
	"strconv"
	"time"

	decide "fennelarch/policy/sharedstore"
)

// commandKind is what a command is for; it says how its reply is read.
type commandKind uint8

const (
	commandAuthenticate commandKind = iota // AUTH, SELECT: an error ends the connection
	commandInfo                            // INFO ends the greeting
	commandGet
	commandAcquireLease
	commandSet
	commandIgnoreReply // nobody waits for the reply
	commandPing
	commandReadLogRange
	commandReadLogPage
	commandWriteLog
)

// command is one command on its way to a store.
type command struct {
	kind      commandKind
	operation decide.OperationID
	key       copyKey
	args      [][]byte // in use until they are in the output buffer; the last may be long
	sentAt    time.Time
	update    decide.LogUpdate // of commandWriteLog
	fromScore float64          // of commandReadLogPage
}

// logPageMembers is how many members of the invalidation log are read at once: some 60 KB.
const logPageMembers = 1000

// args makes arguments of words.
func args(words ...string) [][]byte {
	list := make([][]byte, len(words))
	for i, word := range words {
		list[i] = []byte(word)
	}
	return list
}

// greeting is what a new connection sends before anything else.
func greeting(login Credentials) []command {
	var commands []command
	switch {
	case login.Password != "" && login.User != "":
		commands = append(commands, command{kind: commandAuthenticate, args: args("AUTH", login.User, login.Password)})
	case login.Password != "":
		commands = append(commands, command{kind: commandAuthenticate, args: args("AUTH", login.Password)})
	}
	if login.Database > 0 {
		database := strconv.Itoa(login.Database)
		commands = append(commands, command{kind: commandAuthenticate, args: args("SELECT", database)})
	}
	return append(commands, command{kind: commandInfo, args: args("INFO", "server")})
}

func getCommand(keys *keys, operation decide.OperationID, key copyKey) command {
	return command{
		kind: commandGet, operation: operation, key: key, args: [][]byte{[]byte("GET"), keys.value(key)},
	}
}

func acquireLeaseCommand(keys *keys, operation decide.OperationID, key copyKey, ttl time.Duration) command {
	return command{
		kind: commandAcquireLease, operation: operation, key: key,
		args: [][]byte{[]byte("SET"), keys.lease(key), []byte("1"), []byte("NX"), []byte("PX"), milliseconds(ttl)},
	}
}

func releaseLeaseCommand(keys *keys, key copyKey) command {
	return command{kind: commandIgnoreReply, args: [][]byte{[]byte("DEL"), keys.lease(key)}}
}

func setCommand(
	keys *keys, operation decide.OperationID, key copyKey, ttl time.Duration, stored *Copy,
) command {
	value := stored.Encode(make([]byte, 0, stored.encodedBytes()))
	return command{
		kind: commandSet, operation: operation, key: key,
		args: [][]byte{[]byte("PSETEX"), keys.value(key), milliseconds(ttl), value},
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

// readLogPageCommand reads the members of the log from a score on.
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

// writeLogCommand writes an update of the log. GT lets scores only grow, so routers write in any order.
func writeLogCommand(keys *keys, update decide.LogUpdate) command {
	list := [][]byte{[]byte("ZADD"), keys.invalidationLog(), []byte("GT")}
	add := func(score decide.Timestamp, member []byte) {
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
	// The entries lie in the coordinator's log. They are clipped, so that nothing appended here overwrites what follows
	// them there. The log may shift them later: from here on only their number is used.
	update.Invalidations = update.Invalidations[:len(update.Invalidations):len(update.Invalidations)]
	return command{kind: commandWriteLog, args: list, update: update}
}

// trimLogCommand removes members that are older than a time.
func trimLogCommand(keys *keys, before decide.Timestamp) command {
	exclusive := append([]byte{'('}, timestampArg(before)...)
	return command{
		kind: commandIgnoreReply,
		args: [][]byte{[]byte("ZREMRANGEBYSCORE"), keys.invalidationLog(), []byte("-inf"), exclusive},
	}
}

func timestampArg(timestamp decide.Timestamp) []byte {
	return strconv.AppendInt(nil, int64(timestamp), 10)
}

// milliseconds is a time to live, which stores take in milliseconds and not as 0.
func milliseconds(ttl time.Duration) []byte {
	return strconv.AppendInt(nil, max(1, ttl.Milliseconds()), 10)
}
