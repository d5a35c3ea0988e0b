// Package redis is a stand-in of a store that speaks RESP2, written from the public description of the protocol and of the
// commands that a router uses. This file owns its data and its commands; faults.go what can be wrong with it and what it
// counts. It must never know anything of a router.
package redis

import (
	"container/list"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/tidwall/redcon"
)

// Config is what a store is at its start.
type Config struct {
	Address   string        // "" for any port of loopback
	Memory    int           // bytes of values before the least lately used go, 0: no bound
	Capacity  float64       // commands a second when warm, 0: not counted against
	ColdShare float64       // of it just after a start
	ColdFor   time.Duration // until it has all of it
	Age       time.Duration // for which it has run at its first start
	User      string        // needed, with the word, where the word is set
	Word      string
	Clients   int // connections at most, 0: no bound
	Seed      uint64
}

// Store is one store; it lives through restarts.
type Store struct {
	conf Config

	mu      sync.Mutex
	ln      net.Listener
	server  *redcon.Server
	conns   map[net.Conn]bool
	run     string
	started time.Time
	values  map[string]*entry
	used    *list.List // of keys, the most lately used in front
	bytes   int
	sets    map[string]map[string]float64
	fault   Fault
	rng     *rand.Rand
	count   counter
	saved   *snapshot
}

type entry struct {
	value []byte
	until time.Time // zero: for ever
	at    *list.Element
}

type snapshot struct {
	values map[string]entry
	sets   map[string]map[string]float64
}

// Start starts a store.
func Start(c Config) (*Store, error) {
	s := &Store{conf: c, rng: rand.New(rand.NewPCG(c.Seed, 1)), conns: map[net.Conn]bool{}}
	s.empty()
	s.used = list.New()
	return s, s.listen()
}

func (s *Store) empty() {
	s.values, s.sets, s.used, s.bytes = map[string]*entry{}, map[string]map[string]float64{}, list.New(), 0
}

// Address is where it listens.
func (s *Store) Address() string { return s.conf.Address }

func (s *Store) listen() error {
	address := s.conf.Address
	if address == "" {
		address = "127.0.0.1:0"
	}
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conf.Address, s.ln = ln.Addr().String(), ln
	s.run = fmt.Sprintf("%016x%016x%08x", s.rng.Uint64(), s.rng.Uint64(), s.rng.Uint32())
	s.started = time.Now().Add(-s.conf.Age)
	s.conf.Age = 0
	s.count.start(s.started)
	s.server = redcon.NewServer("", s.handle, s.accept, s.closed)
	go func(v *redcon.Server) { _ = v.Serve(ln) }(s.server)
	return nil
}

// session is what belongs to one connection.
type session struct{ known bool }

func (s *Store) accept(c redcon.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fault.Crowd || s.conf.Clients > 0 && len(s.conns) >= s.conf.Clients {
		c.WriteError("ERR max number of clients reached")
		return false
	}
	s.conns[c.NetConn()] = true
	c.SetContext(&session{known: s.conf.Word == ""})
	return true
}

func (s *Store) closed(c redcon.Conn, _ error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c.NetConn())
}

// handle answers one command. What makes it wait holds up its connection only.
func (s *Store) handle(c redcon.Conn, cmd redcon.Command) {
	verb := strings.ToUpper(string(cmd.Args[0]))
	who := c.Context().(*session)
	s.mu.Lock()
	now := time.Now()
	s.count.add(now)
	switch verb {
	case "GET", "SET", "PSETEX", "DEL":
		s.count.values++
	}
	f := s.fault
	delay := f.delay(s.rng)
	s.mu.Unlock()
	if f.Silent {
		s.await(c, func(f Fault) bool { return !f.Silent })
		return
	}
	time.Sleep(delay)
	if f.Word != "" && verb != "INFO" && (len(f.Verbs) == 0 || contains(f.Verbs, verb)) {
		c.WriteError(f.Word)
		return
	}
	switch {
	case verb == "AUTH":
		user, word := "default", string(cmd.Args[len(cmd.Args)-1])
		if len(cmd.Args) == 3 {
			user = string(cmd.Args[1])
		}
		want := s.conf.User
		if want == "" {
			want = "default"
		}
		if word != s.conf.Word || user != want {
			c.WriteError("WRONGPASS invalid username-password pair or user is disabled.")
			return
		}
		who.known = true
		c.WriteString("OK")
		return
	case !who.known:
		c.WriteError("NOAUTH Authentication required.")
		return
	}
	do, known := commands[verb]
	if !known {
		c.WriteError("ERR unknown command '" + verb + "'")
		return
	}
	if len(cmd.Args)-1 < do.least {
		c.WriteError("ERR wrong number of arguments for '" + strings.ToLower(verb) + "' command")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	do.run(s, c, cmd.Args[1:], time.Now())
}

// await holds a connection until the fault is over or the store ends.
func (s *Store) await(c redcon.Conn, over func(Fault) bool) {
	for {
		time.Sleep(5 * time.Millisecond)
		s.mu.Lock()
		done := over(s.fault) || !s.conns[c.NetConn()]
		s.mu.Unlock()
		if done {
			_ = c.NetConn().Close()
			return
		}
	}
}

func contains(list []string, w string) bool {
	for _, x := range list {
		if x == w {
			return true
		}
	}
	return false
}

var commands = map[string]struct {
	least int
	run   func(s *Store, c redcon.Conn, a [][]byte, now time.Time)
}{
	"PING":   {0, func(_ *Store, c redcon.Conn, _ [][]byte, _ time.Time) { c.WriteString("PONG") }},
	"SELECT": {1, func(_ *Store, c redcon.Conn, _ [][]byte, _ time.Time) { c.WriteString("OK") }},
	"INFO": {0, func(s *Store, c redcon.Conn, _ [][]byte, now time.Time) {
		c.WriteBulkString(fmt.Sprintf("# Server\r\nredis_version:7.2.0\r\nrun_id:%s\r\nuptime_in_seconds:%d\r\n", s.run,
			int(now.Sub(s.started).Seconds())))
	}},
	"GET": {1, func(s *Store, c redcon.Conn, a [][]byte, now time.Time) {
		e := s.get(string(a[0]), now)
		if e == nil {
			c.WriteNull()
			return
		}
		s.used.MoveToFront(e.at)
		s.give(c, e.value)
	}},
	"SET": {2, func(s *Store, c redcon.Conn, a [][]byte, now time.Time) {
		var until time.Time
		only := false
		for i := 2; i < len(a); i++ {
			switch strings.ToUpper(string(a[i])) {
			case "NX":
				only = true
			case "PX":
				if i++; i < len(a) {
					n, err := strconv.Atoi(string(a[i]))
					if err != nil || n <= 0 {
						c.WriteError("ERR invalid expire time in 'set' command")
						return
					}
					until = now.Add(time.Duration(n) * time.Millisecond)
				}
			default:
				c.WriteError("ERR syntax error")
				return
			}
		}
		if only && s.get(string(a[0]), now) != nil {
			c.WriteNull()
			return
		}
		s.put(string(a[0]), a[1], until)
		c.WriteString("OK")
	}},
	"PSETEX": {3, func(s *Store, c redcon.Conn, a [][]byte, now time.Time) {
		n, err := strconv.Atoi(string(a[1]))
		if err != nil || n <= 0 {
			c.WriteError("ERR invalid expire time in 'psetex' command")
			return
		}
		s.put(string(a[0]), a[2], now.Add(time.Duration(n)*time.Millisecond))
		c.WriteString("OK")
	}},
	"DEL": {1, func(s *Store, c redcon.Conn, a [][]byte, now time.Time) {
		n := 0
		for _, k := range a {
			if s.get(string(k), now) != nil {
				s.drop(string(k))
				n++
			}
			if s.sets[string(k)] != nil {
				delete(s.sets, string(k))
				n++
			}
		}
		c.WriteInt(n)
	}},
	"ZADD": {3, func(s *Store, c redcon.Conn, a [][]byte, _ time.Time) {
		greater, rest := false, a[1:]
		if strings.EqualFold(string(rest[0]), "GT") {
			greater, rest = true, rest[1:]
		}
		if len(rest)%2 != 0 {
			c.WriteError("ERR syntax error")
			return
		}
		set := s.sets[string(a[0])]
		if set == nil {
			set = map[string]float64{}
			s.sets[string(a[0])] = set
		}
		added := 0
		for i := 0; i < len(rest); i += 2 {
			at, err := strconv.ParseFloat(string(rest[i]), 64)
			if err != nil {
				c.WriteError("ERR value is not a valid float")
				return
			}
			name := string(rest[i+1])
			old, known := set[name]
			if !known {
				added++
			}
			if !known || !greater || at > old {
				set[name] = at
			}
		}
		c.WriteInt(added)
	}},
	"ZMSCORE": {2, func(s *Store, c redcon.Conn, a [][]byte, _ time.Time) {
		set := s.sets[string(a[0])]
		c.WriteArray(len(a) - 1)
		for _, name := range a[1:] {
			if at, known := set[string(name)]; known {
				c.WriteBulkString(score(at))
			} else {
				c.WriteNull()
			}
		}
	}},
	"ZRANGEBYSCORE": {3, func(s *Store, c redcon.Conn, a [][]byte, _ time.Time) {
		list := s.between(string(a[0]), string(a[1]), string(a[2]))
		scores := false
		for i := 3; i < len(a); i++ {
			switch strings.ToUpper(string(a[i])) {
			case "WITHSCORES":
				scores = true
			case "LIMIT":
				if i+2 >= len(a) {
					c.WriteError("ERR syntax error")
					return
				}
				from, _ := strconv.Atoi(string(a[i+1]))
				most, _ := strconv.Atoi(string(a[i+2]))
				list = list[min(from, len(list)):]
				list = list[:min(most, len(list))]
				i += 2
			}
		}
		if !scores {
			c.WriteArray(len(list))
		} else {
			c.WriteArray(2 * len(list))
		}
		for _, m := range list {
			c.WriteBulkString(m.name)
			if scores {
				c.WriteBulkString(score(m.at))
			}
		}
	}},
	"ZREMRANGEBYSCORE": {3, func(s *Store, c redcon.Conn, a [][]byte, _ time.Time) {
		list := s.between(string(a[0]), string(a[1]), string(a[2]))
		for _, m := range list {
			delete(s.sets[string(a[0])], m.name)
		}
		c.WriteInt(len(list))
	}},
}

func score(at float64) string { return strconv.FormatFloat(at, 'g', 17, 64) }

type ranked struct {
	name string
	at   float64
}

// between lists a set's members by score, then by name; a bound after "(" is left out.
func (s *Store) between(key, from, to string) (list []ranked) {
	bound := func(t string) (x float64, open bool) {
		t, open = strings.CutPrefix(t, "(")
		switch t {
		case "-inf":
			return math.Inf(-1), open
		case "+inf", "inf":
			return math.Inf(1), open
		}
		x, _ = strconv.ParseFloat(t, 64)
		return x, open
	}
	low, lowOpen := bound(from)
	high, highOpen := bound(to)
	for name, at := range s.sets[key] {
		if at < low || at > high || lowOpen && at == low || highOpen && at == high {
			continue
		}
		list = append(list, ranked{name, at})
	}
	sort.Slice(list, func(i, j int) bool {
		return list[i].at < list[j].at || list[i].at == list[j].at && list[i].name < list[j].name
	})
	return list
}

func (s *Store) get(key string, now time.Time) *entry {
	e := s.values[key]
	if e != nil && !e.until.IsZero() && !now.Before(e.until) {
		s.drop(key)
		return nil
	}
	return e
}

func (s *Store) put(key string, value []byte, until time.Time) {
	s.drop(key)
	s.values[key] = &entry{value: append([]byte(nil), value...), until: until, at: s.used.PushFront(key)}
	s.bytes += len(key) + len(value)
	for s.conf.Memory > 0 && s.bytes > s.conf.Memory && s.used.Len() > 1 {
		s.drop(s.used.Back().Value.(string))
		s.count.evicted++
	}
}

func (s *Store) drop(key string) {
	if e := s.values[key]; e != nil {
		s.used.Remove(e.at)
		s.bytes -= len(key) + len(e.value)
		delete(s.values, key)
	}
}
