package main

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// objectKey names one part of an object.
type objectKey struct {
	id   string
	part string
}

// objectCopy is a copy that left the origin at a time.
type objectCopy struct {
	body   string
	bornMS int64
}

// fetch is one attempt that came whole to a server.
type fetch struct {
	at      time.Time // its first byte
	server  string
	id      string
	class   string
	key     objectKey
	source  string
	ageMS   int64 // the oldest copy that will do; 0: not told
	isHeld  bool  // the source gives only what it holds
	hasBody bool
	sentMS  int64  // when the copy of the answer left the origin
	word    string // of the answer
}

// fleet is a set of stand-ins for cache servers, parents and the origin.
type fleet struct {
	stage   *stage
	mu      sync.Mutex
	servers map[string]*cacheServer
	fetches []*fetch
	padding string // of the bytes of each object
}

func newFleet(s *stage) *fleet {
	const usualBytes = 2000
	return &fleet{stage: s, servers: map[string]*cacheServer{}, padding: strings.Repeat("x", usualBytes)}
}

// cacheServer is a stand-in for a cache server, a parent or the origin.
type cacheServer struct {
	fleet    *fleet
	uid      string
	model    string
	address  string
	listener net.Listener
	behave   func(f *fetch) (word string, wait time.Duration) // nil: a sound server

	mu          sync.Mutex
	copies      map[objectKey]objectCopy
	connections map[net.Conn]bool
}

// add starts a server.
func (f *fleet) add(uid, model string) (*cacheServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	created := &cacheServer{
		fleet: f, uid: uid, model: model, address: listener.Addr().String(), listener: listener,
		copies: map[objectKey]objectCopy{}, connections: map[net.Conn]bool{},
	}
	f.mu.Lock()
	f.servers[uid] = created
	f.mu.Unlock()
	go created.accept()
	return created, nil
}

func (f *fleet) find(uid string) *cacheServer {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.servers[uid]
}

// received returns the attempts that were answered so far.
func (f *fleet) received() []*fetch {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*fetch{}, f.fetches...)
}

// entry returns the server's entry in the list.
func (c *cacheServer) entry(state string) target {
	return target{
		UID: c.uid, Address: c.address, Zone: "north", Model: c.model, State: state, Capacity: 4,
	}
}

func (c *cacheServer) accept() {
	for {
		connection, err := c.listener.Accept()
		if err != nil {
			return
		}
		c.mu.Lock()
		c.connections[connection] = true
		c.mu.Unlock()
		go c.serve(connection)
	}
}

func (c *cacheServer) serve(connection net.Conn) {
	defer func() { _ = connection.Close() }()
	var writing sync.Mutex
	reader := newFrameReader(connection)
	for {
		if _, err := reader.Peek(1); err != nil {
			return
		}
		arrivedAt := time.Now()
		words, err := readFrame(reader)
		if err != nil {
			return
		}
		go func() {
			response := c.handle(words, arrivedAt)
			if response == nil {
				return
			}
			writing.Lock()
			defer writing.Unlock()
			_, _ = connection.Write(response)
		}()
	}
}

func (c *cacheServer) handle(words []string, arrivedAt time.Time) []byte {
	switch {
	case words[0] == wordAbort:
		c.fleet.stage.log("%s is told to give up %s", c.uid, words[1])
		return nil
	case words[0] != wordFetch:
		return frame(words[1], "alive", "-")
	}
	received := c.parse(words, arrivedAt)
	word, wait := wordOK, 5*time.Millisecond
	if c.behave != nil {
		word, wait = c.behave(received)
	}
	if word == "" { // no answer
		c.finish(received, "none", objectCopy{})
		return nil
	}
	time.Sleep(wait)
	if word != wordOK {
		c.finish(received, word, objectCopy{})
		return frame(received.id, word, "-", "")
	}
	found, how, err := c.obtain(received)
	if err != nil {
		c.finish(received, wordMiss, objectCopy{})
		return frame(received.id, wordMiss, "how=not_there", "")
	}
	c.finish(received, wordOK, found)
	fields := fmt.Sprintf("sum=%016x,t0=%d,how=%s,slow=1", found.bornMS, found.bornMS, how)
	return frame(received.id, wordOK, fields, found.body)
}

// parse parses an attempt.
func (c *cacheServer) parse(words []string, arrivedAt time.Time) *fetch {
	fields := parseFields(words[2])
	ageMS, _ := strconv.ParseInt(fields["agelim"], 10, 64)
	return &fetch{
		at: arrivedAt, server: c.uid, id: words[1], class: fields["class"], key: objectKey{fields["key"], fields["part"]},
		source: fields["next"], ageMS: ageMS, isHeld: strings.Contains(fields["ways"], "held"),
		hasBody: len(words) > 3 && words[3] != "",
	}
}

// finish records how an attempt was answered.
func (c *cacheServer) finish(received *fetch, word string, found objectCopy) {
	received.word, received.sentMS = word, found.bornMS
	c.fleet.mu.Lock()
	c.fleet.fetches = append(c.fleet.fetches, received)
	c.fleet.mu.Unlock()
	c.fleet.stage.log("%s got %s for object %s at %d, source %q, oldest copy %d ms: answered %s, copy of %d", c.uid,
		received.id, received.key.id, received.at.Sub(c.fleet.stage.start).Milliseconds(), received.source,
		received.ageMS, word, found.bornMS)
}

// obtain returns the server's copy if it is young enough, or else one from the source that the attempt names.
func (c *cacheServer) obtain(received *fetch) (found objectCopy, how string, err error) {
	nowMS := time.Now().UnixMilli()
	if c.model == "origin" {
		return objectCopy{body: objectHead(received.key, nowMS) + c.fleet.padding, bornMS: nowMS}, "local", nil
	}
	c.mu.Lock()
	kept, isKept := c.copies[received.key]
	c.mu.Unlock()
	if isKept && (received.ageMS == 0 || nowMS-kept.bornMS <= received.ageMS) {
		return kept, "local", nil
	}
	source := c.fleet.find(received.source)
	if source == nil || source == c {
		return objectCopy{}, "", errNotHeld
	}
	next := *received
	next.source = ""
	if source.model == "parent" && !received.isHeld {
		next.source = "origin"
	}
	found, fromWhere, err := source.obtain(&next)
	if err != nil {
		return objectCopy{}, "", err
	}
	c.mu.Lock()
	c.copies[received.key] = found
	c.mu.Unlock()
	if fromWhere == "pulled" {
		return found, "pulled_far", nil
	}
	return found, "pulled", nil
}

var errNotHeld = fmt.Errorf("the object is not held")

// objectHead returns the first bytes of an object that left the origin at a time.
func objectHead(key objectKey, bornMS int64) string {
	return fmt.Sprintf("object %s part %s born %d ", key.id, key.part, bornMS)
}

// dropOlder drops all copies that left the origin before a time.
func (c *cacheServer) dropOlder(thanMS int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, kept := range c.copies {
		if kept.bornMS <= thanMS {
			delete(c.copies, key)
		}
	}
}

// dropEverywhere has all servers drop the copies that left the origin before a time.
func (f *fleet) dropEverywhere(thanMS int64) {
	f.mu.Lock()
	servers := make([]*cacheServer, 0, len(f.servers))
	for _, server := range f.servers {
		servers = append(servers, server)
	}
	f.mu.Unlock()
	for _, server := range servers {
		server.dropOlder(thanMS)
	}
	f.stage.log("all servers have dropped the copies from before %d", thanMS)
}
