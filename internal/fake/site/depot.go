// Package depot is a stand-in of a site: caches, parents, the origin and the bulletin, written from the published
// protocol. This file owns the nodes: what they hold, how long they take, what is wrong with them, and what they were
// asked. It must never know anything of a router's insides.
package site

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/tidwall/redcon"
)

// Object names one part of an object.
type Object struct {
	ID   uint64
	Part int
}

// Body is what the origin gives out of an object at a moment: it names itself, so that whoever gets it can tell.
func Body(o Object, born time.Time, size int) string {
	head := fmt.Sprintf("object=%016x part=%d born=%d ", o.ID, o.Part, born.UnixMilli())
	if size <= len(head) {
		return head
	}
	fill := fmt.Sprintf("%016x", o.ID*0x9e3779b97f4a7c15+uint64(o.Part))
	return head + strings.Repeat(fill, (size-len(head))/len(fill)+1)[:size-len(head)]
}

// Read tells of a body what it is and when it was given out; whole says that no byte of it is wrong.
func Read(body string) (o Object, born time.Time, whole bool) {
	var ms int64
	if n, err := fmt.Sscanf(body, "object=%x part=%d born=%d ", &o.ID, &o.Part, &ms); n != 3 || err != nil {
		return o, born, false
	}
	born = time.UnixMilli(ms)
	return o, born, Body(o, born, len(body)) == body
}

// Kind is a node's place in the hierarchy.
type Kind string

const (
	Cache  Kind = "box"
	Parent Kind = "parent"
	Origin Kind = "origin"
)

// Times are how long a node takes.
type Times struct {
	Answer time.Duration // for what it has
	Spread time.Duration // up to so much more
}

// Fault is what is wrong with a node at the moment.
type Fault struct {
	Silent bool
	Word   string        // answered instead: 503, 500
	Delay  time.Duration // before each answer
}

// Asked is one leg that came to a node, or one fill that another asked of it.
type Asked struct {
	At     time.Time
	View   string
	Object Object
	Tariff string
	Source string // named for a fill
	By     string // the node that asked, none: a router
	Write  bool
}

// Site is all nodes and their bulletin.
type Site struct {
	Board *Board
	Size  func(Object) int
	Group func(uint64) int

	mu     sync.Mutex
	nodes  map[string]*Node
	purges map[string]time.Time // the last one of "item" or "lot"
	runs   map[string]int       // how often each write ran
}

// Node is one cache, parent or the origin.
type Node struct {
	UID     string
	Kind    Kind
	Weight  float64
	Address string
	times   Times
	site    *Site

	mu    sync.Mutex
	ln    net.Listener
	fault Fault
	held  map[Object]copied
	asked []Asked
	conns map[net.Conn]bool
	rng   *rand.Rand
	out   int
	most  int
}

type copied struct {
	body string
	born time.Time
}

// NewSite returns a site without nodes, with a bulletin.
func NewSite(size func(Object) int, group func(uint64) int) *Site {
	return &Site{Board: NewBoard(), Size: size, Group: group, nodes: map[string]*Node{}, purges: map[string]time.Time{}, runs: map[string]int{}}
}

// Add starts a node; the list hears of it by Tell.
func (s *Site) Add(uid string, kind Kind, weight float64, t Times, seed uint64) (*Node, error) {
	return s.AddAt("127.0.0.1:0", uid, kind, weight, t, seed)
}

// AddAt starts a node at an address.
func (s *Site) AddAt(address, uid string, kind Kind, weight float64, t Times, seed uint64) (*Node, error) {
	n := &Node{
		UID: uid, Kind: kind, Weight: weight, times: t, site: s, held: map[Object]copied{}, conns: map[net.Conn]bool{},
		rng: rand.New(rand.NewPCG(seed, 2)),
	}
	var err error
	if n.ln, err = net.Listen("tcp", address); err != nil {
		return nil, err
	}
	n.Address = n.ln.Addr().String()
	s.mu.Lock()
	s.nodes[uid] = n
	s.mu.Unlock()
	go n.accept()
	return n, nil
}

// Close ends all nodes and the bulletin.
func (s *Site) Close() {
	s.Board.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range s.nodes {
		_ = n.ln.Close()
	}
}

// Purge tells the bulletin, and the nodes drop what is older.
func (s *Site) Purge(object uint64, group int) time.Time {
	now := time.Now()
	name := fmt.Sprint("item", object)
	if object == 0 {
		name = fmt.Sprint("lot", group)
	}
	s.mu.Lock()
	s.purges[name] = now
	s.mu.Unlock()
	s.Board.purge(object, group, now)
	return now
}

// Purged is the last purge of an object or its group, zero if there was none.
func (s *Site) Purged(object uint64) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, lot := s.purges[fmt.Sprint("item", object)], s.purges[fmt.Sprint("lot", s.Group(object))]
	if lot.After(at) {
		return lot
	}
	return at
}

// Ran is how often the write of a view ran.
func (s *Site) Ran(view string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[view]
}

// Set puts a fault in force.
func (n *Node) Set(f Fault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.fault = f
}

// Asked is all that it was asked.
func (n *Node) Asked() []Asked {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]Asked(nil), n.asked...)
}

// Most is the most that was open at it at once.
func (n *Node) Most() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.most
}

func (n *Node) accept() {
	for {
		c, err := n.ln.Accept()
		if err != nil {
			return
		}
		go n.serve(c)
	}
}

func (n *Node) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	var mu sync.Mutex
	for r := redcon.NewReader(c); ; {
		cmd, err := r.ReadCommand()
		if err != nil || len(cmd.Args) < 2 {
			return
		}
		words := make([]string, len(cmd.Args))
		for i, a := range cmd.Args {
			words[i] = string(a)
		}
		go func() {
			answer := n.answer(words)
			if answer == nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			_, _ = c.Write(answer)
		}()
	}
}

func frame(words ...string) []byte {
	b := redcon.AppendArray(nil, len(words))
	for _, w := range words {
		b = redcon.AppendBulkString(b, w)
	}
	return b
}

func (n *Node) answer(words []string) []byte {
	n.mu.Lock()
	f := n.fault
	n.mu.Unlock()
	if f.Silent {
		return nil
	}
	switch words[0] {
	case "alive", "stats":
		time.Sleep(f.Delay)
		return frame(words[1], "alive", "-")
	case "abort":
		return nil
	case "fetch":
	default:
		return frame(words[1], "500", "-", "")
	}
	if len(words) < 4 {
		return frame(words[1], "500", "-", "")
	}
	fields := map[string]string{}
	for p := range strings.SplitSeq(words[2], ",") {
		name, value, _ := strings.Cut(p, "=")
		fields[name] = value
	}
	id, _ := strconv.ParseUint(fields["key"], 16, 64)
	part, _ := strconv.Atoi(fields["part"])
	age, _ := strconv.Atoi(fields["agelim"])
	o := Object{id, part}
	write := words[3] != "" || fields["class"] == "signoff"
	defer n.begin(Asked{At: time.Now(), View: words[1], Object: o, Tariff: fields["class"], Source: fields["next"], Write: write})()
	time.Sleep(f.Delay)
	if f.Word != "" {
		return frame(words[1], f.Word, "-", "")
	}
	n.sleep()
	if write {
		if n.Kind != Origin {
			return frame(words[1], "404", "how=not_there", "")
		}
		n.site.mu.Lock()
		n.site.runs[words[1]]++
		n.site.mu.Unlock()
		return frame(words[1], "200", "sum=1,t0=1", "done")
	}
	held := strings.Contains(fields["ways"], "held")
	begun := time.Now()
	c, how, err := n.find(o, fields["next"], held, time.Duration(age)*time.Millisecond)
	switch {
	case errors.Is(err, errLacks):
		return frame(words[1], "404", "how=not_there", "")
	case err != nil:
		return frame(words[1], "404", "how="+err.Error(), "")
	}
	sum := fmt.Sprintf("%016x", c.born.UnixMilli())
	note := fmt.Sprintf("sum=%s,t0=%d,how=%s,slow=%d", sum, c.born.UnixMilli(), how, time.Since(begun).Milliseconds())
	if fields["cached"] == sum {
		return frame(words[1], "304", note, "")
	}
	return frame(words[1], "200", note, c.body)
}

func (n *Node) begin(a Asked) (end func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.asked = append(n.asked, a)
	n.out++
	n.most = max(n.most, n.out)
	return func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.out--
	}
}

func (n *Node) sleep() {
	n.mu.Lock()
	d := n.times.Answer
	if n.times.Spread > 0 {
		d += time.Duration(n.rng.Int64N(int64(n.times.Spread)))
	}
	n.mu.Unlock()
	time.Sleep(d)
}

var (
	errLacks   = errors.New("not_there")
	errRefused = errors.New("turned_away")
	errCut     = errors.New("cut_off")
)

// find gives what the node has, or fetches it from the source that is named.
func (n *Node) find(o Object, next string, held bool, age time.Duration) (copied, string, error) {
	if n.Kind == Origin {
		born := time.Now()
		return copied{Body(o, born, n.site.Size(o)), born}, "local", nil
	}
	n.mu.Lock()
	c, has := n.held[o]
	n.mu.Unlock()
	if has && (age == 0 || time.Since(c.born) <= age) && c.born.After(n.site.Purged(o.ID)) {
		return c, "local", nil
	}
	n.site.mu.Lock()
	source := n.site.nodes[next]
	n.site.mu.Unlock()
	if source == nil || source == n {
		return copied{}, "", errLacks
	}
	c, how, err := source.give(n, o, held, age)
	if err != nil {
		return copied{}, "", err
	}
	n.mu.Lock()
	n.held[o] = c
	n.mu.Unlock()
	return c, how, nil
}

// give is a fill that another node asks for; a parent fetches from the origin what it lacks.
func (n *Node) give(by *Node, o Object, held bool, age time.Duration) (copied, string, error) {
	defer n.begin(Asked{At: time.Now(), Object: o, By: by.UID})()
	n.mu.Lock()
	f := n.fault
	n.mu.Unlock()
	time.Sleep(f.Delay)
	switch {
	case f.Silent:
		time.Sleep(2 * time.Second)
		return copied{}, "", errCut
	case f.Word != "":
		return copied{}, "", errRefused
	}
	n.sleep()
	next := ""
	if n.Kind == Parent && !held {
		n.site.mu.Lock()
		for uid, x := range n.site.nodes {
			if x.Kind == Origin {
				next = uid
			}
		}
		n.site.mu.Unlock()
	}
	c, how, err := n.find(o, next, held, age)
	if how == "pulled" {
		return c, "pulled_far", err
	}
	return c, "pulled", err
}
