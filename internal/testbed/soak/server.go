package soak

// This file owns the stand-ins of cache servers, parents and the origin, written from the published protocol: what they hold, what is
// wrong with them, and what effect each request had.

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"fennelarch/internal/fake/site"

	"github.com/tidwall/redcon"
)

// Class is one kind of request.
type Class struct {
	Name    string
	Effect  Effect
	Write   bool          // it runs at the origin
	Fresh   time.Duration // of a copy, 0: until purged
	Window  time.Duration // in which repeats of a keyed request are dropped
	Timeout time.Duration
}

// classes are those of the soak's deployment.
var classes = []*Class{
	{Name: "clip", Timeout: 2500 * time.Millisecond},
	{Name: "page", Fresh: 2 * time.Second, Timeout: 1500 * time.Millisecond},
	{Name: "photo", Effect: OneShot, Timeout: 1800 * time.Millisecond},
	{Name: "book", Effect: Keyed, Window: 1200 * time.Millisecond, Timeout: 2 * time.Second},
	{Name: "signoff", Effect: OneShot, Write: true, Timeout: 2 * time.Second},
}

func classOf(name string) *Class {
	for _, c := range classes {
		if c.Name == name {
			return c
		}
	}
	return nil
}

// mode is what is wrong with a server.
type mode uint8

const (
	healthy mode = iota
	hanging
	failing
	full
)

// flow is how many KB a second one transfer carries; a byte on the socket stands for fifteen.
const flow, bytesPerKB = 800.0, 1024.0 / 15

// server is one stand-in.
type server struct {
	site   *serverSet
	uid    string
	kind   site.Kind
	cell   int
	weight float64
	front  *proxy // what routers reach
	ln     net.Listener

	mu     sync.Mutex
	mode   mode
	held   map[uint64]copied
	conns  map[net.Conn]bool
	rng    *rand.Rand
	gone   bool
	drains int // troubles that have it drain
}

type copied struct {
	body string
	born time.Time
}

func sum(born time.Time) string { return fmt.Sprintf("%016x", born.UnixNano()) }

// sizeKB is an object's size: most are some tens of KB.
func sizeKB(object uint64) float64 { return 15 + float64(object%7)*20 }

func (s *server) accept() {
	for {
		c, err := s.ln.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		go s.serve(c)
	}
}

func (s *server) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	var writing sync.Mutex
	for r := redcon.NewReader(c); ; {
		command, err := r.ReadCommand()
		if err != nil || len(command.Args) < 2 {
			return
		}
		words := make([]string, len(command.Args))
		for i, a := range command.Args {
			words[i] = string(a)
		}
		go func() {
			answer := s.answer(words)
			if answer == nil {
				return
			}
			writing.Lock()
			defer writing.Unlock()
			_, _ = c.Write(answer)
		}()
	}
}

// reset ends all its connections at once, as a process that dies does.
func (s *server) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

func (s *server) set(m mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = m
}

func words(list ...string) []byte {
	b := redcon.AppendArray(nil, len(list))
	for _, w := range list {
		b = redcon.AppendBulkString(b, w)
	}
	return b
}

func fieldsOf(text string) map[string]string {
	fields := map[string]string{}
	for part := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(part, "=")
		fields[name] = value
	}
	return fields
}

func (s *server) answer(request []string) []byte {
	s.mu.Lock()
	m, draw := s.mode, s.rng.Float64()
	s.mu.Unlock()
	switch {
	case m == hanging || request[0] == "abort":
		return nil
	case request[0] == "alive" || request[0] == "stats":
		return words(request[1], "alive", "-")
	case request[0] != "fetch" || len(request) < 4:
		return words(request[1], "500", "-", "")
	}
	id, fields := request[1], fieldsOf(request[2])
	class := classOf(fields["class"])
	object, err := strconv.ParseUint(fields["key"], 16, 64)
	if class == nil || err != nil {
		return words(id, "500", "-", "")
	}
	begun := time.Now()
	wait, _ := strconv.Atoi(fields["wait"])
	until := begun.Add(time.Duration(wait) * time.Millisecond)
	switch {
	case m == full:
		return words(id, "503", "how=turned_away", "")
	case m == failing && draw < 0.5:
		return words(id, "404", "how=not_there", "")
	}
	if class.Effect != Repeatable || class.Write {
		return s.run(id, class, m, until)
	}
	return s.fetch(id, class, object, fields, m, until)
}

// run has an effect, unless it is a repeat that this server's cell drops.
func (s *server) run(id string, class *Class, m mode, until time.Time) []byte {
	if class.Write && s.kind != site.Origin {
		return words(id, "404", "how=not_there", "")
	}
	if !s.site.repeated(s, id, class) {
		s.site.record.with(func() { s.site.record.runs[id]++ })
	}
	s.sleep(until)
	if m == failing {
		return words(id, "500", "-", "")
	}
	return words(id, "200", "sum=0000000000000001,t0="+strconv.FormatInt(time.Now().UnixMilli(), 10)+",how=local", "done "+id)
}

func (s *server) sleep(until time.Time) {
	s.mu.Lock()
	d := time.Duration(2+s.rng.IntN(8)) * time.Millisecond
	s.mu.Unlock()
	time.Sleep(min(d, max(0, time.Until(until))))
}

// fetch gives a copy that will do, or fills it.
func (s *server) fetch(id string, class *Class, object uint64, fields map[string]string, m mode, until time.Time) []byte {
	oldest := class.Fresh
	if limit, _ := strconv.Atoi(fields["agelim"]); limit > 0 {
		oldest = time.Duration(limit) * time.Millisecond
	}
	s.sleep(until)
	begun := time.Now()
	c, how := s.find(id, object, fields["next"], oldest, strings.Contains(fields["ways"], "held"))
	if how == "not_there" || how == "turned_away" {
		return words(id, "404", "how="+how, "")
	}
	waited := time.Since(begun)
	transfer := time.Duration(sizeKB(object) / flow * float64(time.Second))
	time.Sleep(min(transfer, max(0, time.Until(until))))
	if time.Now().After(until) || m == failing {
		return words(id, "500", "-", "")
	}
	note := fmt.Sprintf("sum=%s,t0=%d,how=%s,slow=%d", sum(c.born), c.born.UnixMilli(), how, waited.Milliseconds())
	if fields["cached"] == sum(c.born) {
		return words(id, "304", note, "")
	}
	return words(id, "200", note, c.body)
}

// find is what the server holds, or what it fills from the source that is named.
func (s *server) find(id string, object uint64, next string, oldest time.Duration, held bool) (copied, string) {
	if s.kind == site.Origin {
		return s.site.fresh(object), "local"
	}
	s.mu.Lock()
	c, has := s.held[object]
	s.mu.Unlock()
	if has && (oldest == 0 || time.Since(c.born) <= oldest) && !s.site.dropped(object, c.born) {
		return c, "local"
	}
	source := s.site.byUID(next)
	if source == nil || source == s {
		return copied{}, "not_there"
	}
	s.site.called(source, id) // a fill counts as a request at its source
	source.mu.Lock()
	m := source.mode
	source.mu.Unlock()
	if m != healthy {
		return copied{}, "turned_away"
	}
	above := ""
	if source.kind == site.Parent && !held {
		above = s.site.origin.uid
	}
	c, how := source.find(id, object, above, oldest, held)
	if how != "local" && how != "pulled" {
		return c, how
	}
	s.mu.Lock()
	s.held[object] = c
	s.mu.Unlock()
	if how == "pulled" || source.kind == site.Origin {
		return c, "pulled_far"
	}
	return c, "pulled"
}

// serverSet is all servers of the deployment.
type serverSet struct {
	record *Record
	origin *server

	mu      sync.Mutex
	servers map[string]*server
	effects map[string]map[int]time.Time // of a keyed request, by cell: when it ran there
}

func (s *serverSet) byUID(uid string) *server {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.servers[uid]
}

// repeated says whether a cell knows a keyed request already, and notes it.
func (s *serverSet) repeated(at *server, id string, class *Class) bool {
	if class.Effect != Keyed {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	cells := s.effects[id]
	if cells == nil {
		cells = map[int]time.Time{}
		s.effects[id] = cells
	}
	ran, known := cells[at.cell]
	if known && time.Since(ran) < class.Window {
		return true
	}
	cells[at.cell] = time.Now()
	return false
}

// goneEverywhere is how long caches may still hold what was purged; purgeGrace and drainGrace are what routers have.
const (
	goneEverywhere = 4 * time.Second
	purgeGrace     = time.Second
	drainGrace     = time.Second
)

// dropped says whether a copy from before a purge has been dropped by now.
func (s *serverSet) dropped(object uint64, born time.Time) bool {
	dropped := false
	s.record.with(func() {
		for _, p := range s.record.purges {
			dropped = dropped || p.object == object && born.Before(p.issued) && time.Since(p.at) > goneEverywhere
		}
	})
	return dropped
}

// fresh is a copy as the origin gives it out now.
func (s *serverSet) fresh(object uint64) copied {
	born := time.Now().Truncate(time.Millisecond)
	return copied{site.Body(site.Object{ID: object}, born, int(sizeKB(object)*bytesPerKB)), born}
}

// called counts a request at a server that started a while ago, cold.
func (s *serverSet) called(at *server, id string) {
	now := time.Now()
	s.record.with(func() {
		for i := range s.record.colds {
			if c := &s.record.colds[i]; c.server == at.uid {
				c.calls = append(c.calls, call{id, now})
			}
		}
	})
}
