package standin

import (
	"bufio"
	"fmt"
	"maps"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Kinds of servers, as in the list of servers.
const (
	Cache  = "box"
	Parent = "parent"
	Origin = "origin"
)

const (
	loadReport = "stats=cpu_share:0.1;busy_reqs:1;x1:0.1"
	zone       = "west"
	originWait = 20 * time.Millisecond // from a fill to the origin's first byte
)

// Copy is a copy of an object.
type Copy struct {
	Version int
	GivenAt time.Time // when the origin gave it out
}

// Site holds the state that its servers share.
type Site struct {
	Record       *Record
	IsQuiet      bool // the servers record no served request
	BodyBytes    int
	TransferTime time.Duration // from the first to the last byte of an answer

	mu      sync.Mutex
	version int // of all objects, as the origin has them
	servers map[string]*Server
}

// NewSite returns a site without servers.
func NewSite(record *Record, bodyBytes int, transferTime time.Duration) *Site {
	return &Site{
		Record: record, BodyBytes: bodyBytes, TransferTime: transferTime, servers: map[string]*Server{},
	}
}

// Fetch is a router's request to a server.
type Fetch struct {
	ID, Class, Object, Source string
	MaxAge                    time.Duration
	OnlyHeld                  bool
	At                        time.Time
}

// Verdict says what a server does with a request besides answering it.
type Verdict int

// Verdicts.
const (
	Serve         Verdict = iota
	ResetAfterRun         // runs the request, then resets the connection in place of an answer
	AnswerError           // cannot use the request
)

// Server is a cache, a parent or the origin.
type Server struct {
	UID, Kind, Address string
	Weight             float64

	site   *Site
	mu     sync.Mutex
	copies map[string]Copy
	ran    []Fetch
	judge  func(fetch Fetch) Verdict

	workers  chan bool // nil: any number
	workTime time.Duration
}

// Add starts a server.
func (s *Site) Add(uid, kind string, weight float64) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	server := &Server{
		UID: uid, Kind: kind, Address: listener.Addr().String(), Weight: weight, site: s, copies: map[string]Copy{},
	}
	s.mu.Lock()
	s.servers[uid] = server
	s.mu.Unlock()
	go func() {
		for {
			socket, err := listener.Accept()
			if err != nil {
				return
			}
			go server.serve(socket.(*net.TCPConn))
		}
	}()
	return server, nil
}

// Entry returns the server's entry in the list of servers.
func (s *Server) Entry(state string) map[string]any {
	return map[string]any{
		"uid": s.UID, "endpoint": s.Address, "az": zone, "model": s.Kind, "pod_group": 0, "state": state,
		"capacity_hint": s.Weight, "boot_ms": 0,
	}
}

// SetJudge sets a function that decides what happens to each request.
func (s *Server) SetJudge(judge func(fetch Fetch) Verdict) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.judge = judge
}

// SetWorkers limits how many requests the server works on at a time, and sets how long it takes for each.
func (s *Server) SetWorkers(count int, workTime time.Duration) {
	s.workers, s.workTime = make(chan bool, count), workTime
}

// takeTurn waits for a worker and for its work. It reports false if the request is over before its turn.
func (s *Server) takeTurn(wait string) bool {
	limit, _ := strconv.Atoi(wait)
	select {
	case s.workers <- true:
	case <-time.After(time.Duration(limit) * time.Millisecond):
		return false
	}
	time.Sleep(s.workTime)
	<-s.workers
	return true
}

// Ran returns the requests that the server has run so far.
func (s *Server) Ran() []Fetch {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Fetch(nil), s.ran...)
}

// PurgeAll gives each object a new version. The servers drop the copies from before by themselves, after the delay.
func (s *Site) PurgeAll(dropAfter time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	for _, server := range s.servers {
		time.AfterFunc(dropAfter, func() { server.dropBefore(s.Version()) })
	}
}

// Version returns the version that the origin gives out.
func (s *Site) Version() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

func (s *Server) dropBefore(version int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.copies, func(_ string, held Copy) bool { return held.Version < version })
}

// serve answers the requests of one connection.
func (s *Server) serve(socket *net.TCPConn) {
	defer func() { _ = socket.Close() }()
	reader := bufio.NewReader(socket)
	var writing sync.Mutex
	write := func(text []byte) {
		writing.Lock()
		defer writing.Unlock()
		_, _ = socket.Write(text)
	}
	for {
		words, err := readFrame(reader)
		if err != nil || len(words) < 2 {
			return
		}
		switch words[0] {
		case "alive", "stats":
			write(frame(words[1], "alive", loadReport, ""))
		case "abort":
			if !s.site.IsQuiet {
				s.site.Record.Printf("%s: abort %s", s.UID, words[1])
			}
		case "fetch":
			go s.handle(socket, words, write)
		}
	}
}

// handle runs one request.
func (s *Server) handle(socket *net.TCPConn, words []string, write func([]byte)) {
	fields := parseFields(words[2])
	maxAge, _ := strconv.Atoi(fields["agelim"])
	fetch := Fetch{
		ID: words[1], Class: fields["class"], Object: fields["key"] + "/" + fields["part"], Source: fields["next"],
		MaxAge: time.Duration(maxAge) * time.Millisecond, OnlyHeld: strings.Contains(fields["ways"], "held"),
		At: time.Now(),
	}
	s.mu.Lock()
	s.ran = append(s.ran, fetch)
	verdict := Serve
	if s.judge != nil {
		verdict = s.judge(fetch)
	}
	s.mu.Unlock()
	if s.workers != nil && !s.takeTurn(fields["wait"]) {
		write(frame(fetch.ID, "504", "-", ""))
		return
	}
	if verdict == AnswerError {
		write(frame(fetch.ID, "500", "-", ""))
		return
	}
	if verdict == ResetAfterRun {
		s.site.Record.Printf("%s: ran %s %s, then resets the connection", s.UID, fetch.Class, fetch.ID)
		_ = socket.SetLinger(0)
		_ = socket.Close()
		return
	}
	found, note, wait := s.find(fetch)
	if note == "" {
		s.site.Record.Printf("%s: %s %s (%s): 404", s.UID, fetch.Class, fetch.ID, fetch.Object)
		write(frame(fetch.ID, "404", "how=not_there", ""))
		return
	}
	time.Sleep(wait + s.site.TransferTime)
	sum := Sum(found.Version)
	list := fmt.Sprintf("how=%s,slow=%d,sum=%s,t0=%d,%s",
		note, wait.Milliseconds(), sum, found.GivenAt.UnixMilli(), loadReport)
	if !s.site.IsQuiet {
		s.site.Record.Printf("%s: ran %s %s (%s): 200, version %d, %s",
			s.UID, fetch.Class, fetch.ID, fetch.Object, found.Version, note)
	}
	if fields["cached"] == sum {
		write(frame(fetch.ID, "304", list, ""))
		return
	}
	write(frame(fetch.ID, "200", list, s.site.body(fetch.Object, found.Version)))
}

// Sum returns the tag of a version.
func Sum(version int) string { return fmt.Sprintf("%016x", 0xabc000+version) }

// body returns the bytes of a version of an object.
func (s *Site) body(object string, version int) string {
	text := fmt.Sprintf("object=%s version=%d ", object, version)
	return text + strings.Repeat("x", max(0, s.BodyBytes-len(text)))
}

// Version returns the version in the bytes of an answer, or -1 if they are not the object's.
func Version(object, body string) int {
	text, found := strings.CutPrefix(body, "object="+object+" version=")
	if !found {
		return -1
	}
	text, _, _ = strings.Cut(text, " ")
	version, err := strconv.Atoi(text)
	if err != nil {
		return -1
	}
	return version
}

// find returns the server's copy, or a copy from the source that the request names. The note is empty for a miss.
func (s *Server) find(fetch Fetch) (found Copy, note string, wait time.Duration) {
	if s.Kind == Origin {
		return s.site.fromOrigin(), "local", 0
	}
	if held, isHeld := s.held(fetch); isHeld {
		return held, "local", 0
	}
	s.site.mu.Lock()
	source := s.site.servers[fetch.Source]
	s.site.mu.Unlock()
	if source == nil || source == s {
		return Copy{}, "", 0
	}
	note, wait = "pulled", originWait/2
	isHeld := false
	if source.Kind != Origin {
		found, isHeld = source.held(fetch)
	}
	if !isHeld {
		if source.Kind == Cache || fetch.OnlyHeld && source.Kind == Parent {
			return Copy{}, "", 0
		}
		found, note, wait = s.site.fromOrigin(), "pulled_far", originWait
		source.keep(fetch.Object, found)
	}
	s.keep(fetch.Object, found)
	return found, note, wait
}

func (s *Server) held(fetch Fetch) (Copy, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held, found := s.copies[fetch.Object]
	if !found || fetch.MaxAge > 0 && time.Since(held.GivenAt) > fetch.MaxAge {
		return Copy{}, false
	}
	return held, true
}

func (s *Server) keep(object string, found Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copies[object] = found
}

func (s *Site) fromOrigin() Copy {
	return Copy{Version: s.Version(), GivenAt: time.Now()}
}
