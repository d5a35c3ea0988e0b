package redis

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/redcon"
)

// defaultUser is the user name where none is given.
const defaultUser = "default"

// silenceCheckInterval is how often an unanswered connection checks whether the Silent fault is over.
const silenceCheckInterval = 5 * time.Millisecond

// command is the implementation of a verb.
type command struct {
	minArgs int
	answer  func(s *Store, connection redcon.Conn, args [][]byte, now time.Time) // called with the lock held
}

var commands = map[string]command{
	"PING":             {0, (*Store).answerPing},
	"SELECT":           {1, (*Store).answerSelect},
	"INFO":             {0, (*Store).answerInfo},
	"GET":              {1, (*Store).answerGet},
	"SET":              {2, (*Store).answerSet},
	"PSETEX":           {3, (*Store).answerPSetEx},
	"DEL":              {1, (*Store).answerDel},
	"ZADD":             {3, (*Store).answerZAdd},
	"ZMSCORE":          {2, (*Store).answerZMScore},
	"ZRANGEBYSCORE":    {3, (*Store).answerZRangeByScore},
	"ZREMRANGEBYSCORE": {3, (*Store).answerZRemRangeByScore},
}

// handle answers one command. A delay holds up only the connection that the command came on.
func (s *Store) handle(connection redcon.Conn, request redcon.Command) {
	verb := strings.ToUpper(string(request.Args[0]))
	fault, delay := s.count(verb)
	if fault.Silent {
		s.waitWhileSilent(connection)
		return
	}
	time.Sleep(delay)
	if fault.hasErrorFor(verb) {
		connection.WriteError(fault.ErrorReply)
		return
	}
	client := connection.Context().(*session)
	if verb == "AUTH" {
		s.authenticate(connection, client, request.Args)
		return
	}
	if !client.isAuthenticated {
		connection.WriteError("NOAUTH Authentication required.")
		return
	}
	implementation, isKnown := commands[verb]
	if !isKnown {
		connection.WriteError("ERR unknown command '" + verb + "'")
		return
	}
	args := request.Args[1:]
	if len(args) < implementation.minArgs {
		connection.WriteError("ERR wrong number of arguments for '" + strings.ToLower(verb) + "' command")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	implementation.answer(s, connection, args, time.Now())
}

// count counts a command. It returns the current fault and the delay of the answer.
func (s *Store) count(verb string) (fault Fault, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counter.add(time.Now())
	switch verb {
	case "GET", "SET", "PSETEX", "DEL":
		s.counter.valueCommands++
	}
	return s.fault, s.fault.drawDelay(s.random)
}

// waitWhileSilent leaves a connection unanswered until the fault is over or the store has crashed, then closes it.
func (s *Store) waitWhileSilent(connection redcon.Conn) {
	for {
		time.Sleep(silenceCheckInterval)
		s.mu.Lock()
		isOver := !s.fault.Silent || !s.connections[connection.NetConn()]
		s.mu.Unlock()
		if isOver {
			_ = connection.NetConn().Close()
			return
		}
	}
}

// authenticate answers "AUTH password" or "AUTH user password".
func (s *Store) authenticate(connection redcon.Conn, client *session, request [][]byte) {
	user, password := defaultUser, string(request[len(request)-1])
	if len(request) == 3 {
		user = string(request[1])
	}
	wantUser := s.config.User
	if wantUser == "" {
		wantUser = defaultUser
	}
	if password != s.config.Password || user != wantUser {
		connection.WriteError("WRONGPASS invalid username-password pair or user is disabled.")
		return
	}
	client.isAuthenticated = true
	connection.WriteString("OK")
}

func (s *Store) answerPing(connection redcon.Conn, _ [][]byte, _ time.Time) {
	connection.WriteString("PONG")
}

func (s *Store) answerSelect(connection redcon.Conn, _ [][]byte, _ time.Time) {
	connection.WriteString("OK")
}

func (s *Store) answerInfo(connection redcon.Conn, _ [][]byte, now time.Time) {
	connection.WriteBulkString(fmt.Sprintf(
		"# Server\r\nredis_version:7.2.0\r\nrun_id:%s\r\nuptime_in_seconds:%d\r\n",
		s.runID, int(now.Sub(s.startedAt).Seconds())))
}

func (s *Store) answerGet(connection redcon.Conn, args [][]byte, now time.Time) {
	found := s.values.get(string(args[0]), now)
	if found == nil {
		connection.WriteNull()
		return
	}
	s.values.use(found)
	s.writeValue(connection, found.data)
}

// setOptions are the options of SET.
type setOptions struct {
	onlyIfAbsent bool
	expiresAt    time.Time // zero: never
}

// parseSetOptions parses the options of SET. If they are invalid, errorReply is the error to answer with.
func parseSetOptions(args [][]byte, now time.Time) (options setOptions, errorReply string) {
	for i := 0; i < len(args); i++ {
		switch strings.ToUpper(string(args[i])) {
		case "NX":
			options.onlyIfAbsent = true
		case "PX":
			i++
			if i == len(args) {
				return options, "ERR syntax error"
			}
			expiresIn, isValid := parseExpireTime(args[i])
			if !isValid {
				return options, "ERR invalid expire time in 'set' command"
			}
			options.expiresAt = now.Add(expiresIn)
		default:
			return options, "ERR syntax error"
		}
	}
	return options, ""
}

// parseExpireTime parses a positive number of milliseconds.
func parseExpireTime(text []byte) (expiresIn time.Duration, isValid bool) {
	millis, err := strconv.Atoi(string(text))
	return time.Duration(millis) * time.Millisecond, err == nil && millis > 0
}

func (s *Store) answerSet(connection redcon.Conn, args [][]byte, now time.Time) {
	key := string(args[0])
	options, errorReply := parseSetOptions(args[2:], now)
	if errorReply != "" {
		connection.WriteError(errorReply)
		return
	}
	if options.onlyIfAbsent && s.values.get(key, now) != nil {
		connection.WriteNull()
		return
	}
	s.put(key, args[1], options.expiresAt)
	connection.WriteString("OK")
}

func (s *Store) answerPSetEx(connection redcon.Conn, args [][]byte, now time.Time) {
	expiresIn, isValid := parseExpireTime(args[1])
	if !isValid {
		connection.WriteError("ERR invalid expire time in 'psetex' command")
		return
	}
	s.put(string(args[0]), args[2], now.Add(expiresIn))
	connection.WriteString("OK")
}

func (s *Store) answerDel(connection redcon.Conn, args [][]byte, now time.Time) {
	removed := 0
	for _, arg := range args {
		key := string(arg)
		if s.values.get(key, now) != nil {
			s.values.remove(key)
			removed++
		}
		if s.sets[key] != nil {
			delete(s.sets, key)
			removed++
		}
	}
	connection.WriteInt(removed)
}

func (s *Store) answerZAdd(connection redcon.Conn, args [][]byte, _ time.Time) {
	key, rest := string(args[0]), args[1:]
	onlyGreater := strings.EqualFold(string(rest[0]), "GT")
	if onlyGreater {
		rest = rest[1:]
	}
	if len(rest)%2 != 0 {
		connection.WriteError("ERR syntax error")
		return
	}
	set := s.sets[key]
	if set == nil {
		set = sortedSet{}
		s.sets[key] = set
	}
	added := 0
	for ; len(rest) > 0; rest = rest[2:] {
		score, err := strconv.ParseFloat(string(rest[0]), 64)
		if err != nil {
			connection.WriteError("ERR value is not a valid float")
			return
		}
		member := string(rest[1])
		old, isMember := set[member]
		if !isMember {
			added++
		}
		if !isMember || !onlyGreater || score > old {
			set[member] = score
		}
	}
	connection.WriteInt(added)
}

func (s *Store) answerZMScore(connection redcon.Conn, args [][]byte, _ time.Time) {
	set, members := s.sets[string(args[0])], args[1:]
	connection.WriteArray(len(members))
	for _, member := range members {
		if score, isMember := set[string(member)]; isMember {
			connection.WriteBulkString(formatScore(score))
		} else {
			connection.WriteNull()
		}
	}
}

// membersBetween returns the members of a set with scores in a range. The first three arguments are the key and the two
// bounds.
func (s *Store) membersBetween(args [][]byte) []scoredMember {
	return s.sets[string(args[0])].between(parseScoreBound(args[1]), parseScoreBound(args[2]))
}

// limitMembers returns count members from an offset on. A negative count means all, a negative offset none.
func limitMembers(members []scoredMember, offset, count int) []scoredMember {
	if offset < 0 || offset > len(members) {
		return nil
	}
	members = members[offset:]
	if count < 0 {
		return members
	}
	return members[:min(count, len(members))]
}

func (s *Store) answerZRangeByScore(connection redcon.Conn, args [][]byte, _ time.Time) {
	members := s.membersBetween(args)
	hasScores := false
	for options := args[3:]; len(options) > 0; options = options[1:] {
		switch strings.ToUpper(string(options[0])) {
		case "WITHSCORES":
			hasScores = true
		case "LIMIT":
			if len(options) < 3 {
				connection.WriteError("ERR syntax error")
				return
			}
			offset, _ := strconv.Atoi(string(options[1]))
			count, _ := strconv.Atoi(string(options[2]))
			members = limitMembers(members, offset, count)
			options = options[2:]
		}
	}
	if !hasScores {
		connection.WriteArray(len(members))
	} else {
		connection.WriteArray(2 * len(members))
	}
	for _, member := range members {
		connection.WriteBulkString(member.name)
		if hasScores {
			connection.WriteBulkString(formatScore(member.score))
		}
	}
}

func (s *Store) answerZRemRangeByScore(connection redcon.Conn, args [][]byte, _ time.Time) {
	members := s.membersBetween(args)
	for _, member := range members {
		delete(s.sets[string(args[0])], member.name)
	}
	connection.WriteInt(len(members))
}

func formatScore(score float64) string { return strconv.FormatFloat(score, 'g', 17, 64) }

// parseScoreBound parses one end of a range of scores. A leading "(" marks an exclusive bound.
func parseScoreBound(text []byte) (bound scoreBound) {
	number, isExclusive := strings.CutPrefix(string(text), "(")
	bound.isExclusive = isExclusive
	switch number {
	case "-inf":
		bound.score = math.Inf(-1)
	case "+inf", "inf":
		bound.score = math.Inf(1)
	default:
		bound.score, _ = strconv.ParseFloat(number, 64)
	}
	return bound
}
