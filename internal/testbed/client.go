package testbed

// This file owns the clients: views sent when they are due to be sent, whatever became of those before, over connections
// that are kept; and the record of what came back. A time counts from when the view was meant to go.

import (
	"crypto/tls"
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

func frame(words ...string) []byte {
	b := redcon.AppendArray(nil, len(words))
	for _, w := range words {
		b = redcon.AppendBulkString(b, w)
	}
	return b
}

// View is one view and what became of it.
type View struct {
	Router  int
	Req     string
	Tariff  string
	Object  site.Object
	KB      float64
	Meant   time.Time
	Sent    time.Time // zero: it never went
	Timeout time.Duration
	Due     time.Duration

	Answers  int
	Answered time.Time // of the first
	Word     string
	Holdoff  bool
	Body     string
	Failed   bool // the connection ended first
	Ended    time.Time
}

// Took is the time from when it was meant to go.
func (v *View) Took() time.Duration { return v.Answered.Sub(v.Meant) }

// InTime says whether it was served by its due time.
func (v *View) InTime() bool { return v.Word == "OK" && v.Took() <= v.Due }

// conn is one connection; up to 32 views are open on it.
type conn struct {
	mu   sync.Mutex
	c    net.Conn
	tag  int
	open map[string]*View // those answered stay for a while: a second answer is seen then
	wait int              // that have no answer
	over bool
}

// Clients are the clients of one router.
type Clients struct {
	address string
	router  int
	keys    *tls.Config // none: plainly

	mu    sync.Mutex
	conns []*conn
	views []*View
	rng   *rand.Rand
}

// NewClients returns clients of a router that have not asked for anything.
func NewClients(router int, address string, seed uint64) *Clients {
	return &Clients{address: address, router: router, rng: rand.New(rand.NewPCG(seed, 3))}
}

// Views are all views so far; they may still change until Settle.
func (k *Clients) Views() []*View {
	k.mu.Lock()
	defer k.mu.Unlock()
	return append([]*View(nil), k.views...)
}

// Ask sends a view that was meant to go at a time.
func (k *Clients) Ask(meant time.Time, tariff string, o site.Object, group int, kb float64, timeout, due time.Duration, body string) *View {
	v := &View{Router: k.router, Tariff: tariff, Object: o, KB: kb, Meant: meant, Timeout: timeout, Due: due}
	k.mu.Lock()
	v.Req = fmt.Sprintf("%016x", k.rng.Uint64()|1)
	k.views = append(k.views, v)
	k.mu.Unlock()
	for range 3 {
		c := k.find()
		if c == nil {
			break
		}
		if k.write(c, v, group, body) {
			return v
		}
	}
	v.Failed = true
	return v
}

func (k *Clients) write(c *conn, v *View, group int, body string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.over {
		return false
	}
	c.tag++
	tag := strconv.Itoa(c.tag)
	fields := fmt.Sprintf("req=%s,timeout=%d,subject=%016x,piece=%d,lot=%d,need=%.1f", v.Req, v.Timeout.Milliseconds(), v.Object.ID,
		v.Object.Part, group, v.KB)
	c.open[tag] = v
	c.wait++
	_ = c.c.SetWriteDeadline(time.Now().Add(time.Second))
	if _, err := c.c.Write(frame("DO", tag, v.Tariff, fields, body)); err != nil {
		delete(c.open, tag)
		c.over = true
		_ = c.c.Close()
		return false
	}
	v.Sent = time.Now()
	return true
}

// find is a connection with room, or a new one.
func (k *Clients) find() *conn {
	k.mu.Lock()
	defer k.mu.Unlock()
	rest := k.conns[:0]
	var found *conn
	for _, c := range k.conns {
		c.mu.Lock()
		n, over := c.wait, c.over
		c.mu.Unlock()
		if over {
			continue
		}
		rest = append(rest, c)
		if found == nil && n < 16 {
			found = c
		}
	}
	k.conns = rest
	if found != nil {
		return found
	}
	up, err := net.DialTimeout("tcp", k.address, time.Second)
	if err != nil {
		return nil
	}
	if k.keys != nil {
		up = tls.Client(up, k.keys)
	}
	c := &conn{c: up, open: map[string]*View{}}
	k.conns = append(k.conns, c)
	go c.read()
	return c
}

func (c *conn) read() {
	for r := redcon.NewReader(c.c); ; {
		cmd, err := r.ReadCommand()
		now := time.Now()
		c.mu.Lock()
		if err != nil {
			c.over = true
			for _, v := range c.open {
				v.Failed, v.Ended = v.Answers == 0, now
			}
			c.mu.Unlock()
			_ = c.c.Close()
			return
		}
		if len(cmd.Args) >= 2 {
			if v := c.open[string(cmd.Args[0])]; v != nil {
				if v.Answers++; v.Answers == 1 {
					c.wait--
					v.Answered, v.Word = now, string(cmd.Args[1])
					if len(cmd.Args) > 2 {
						v.Holdoff = strings.Contains(string(cmd.Args[2]), "holdoff=")
					}
					if len(cmd.Args) > 3 {
						v.Body = string(cmd.Args[3])
					}
				}
			}
			// A second answer would still be counted: the view stays, but is not open any more.
			if len(c.open) > 64 {
				for tag, v := range c.open {
					if v.Answers > 0 && now.Sub(v.Answered) > 2*time.Second {
						delete(c.open, tag)
					}
				}
			}
		}
		c.mu.Unlock()
	}
}

// Settle waits until every view that went has its answer or its time is long over, then closes the connections.
func (k *Clients) Settle() {
	for end := time.Now().Add(7 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if k.open() == 0 {
			break
		}
	}
	time.Sleep(100 * time.Millisecond) // for an answer too many
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, c := range k.conns {
		_ = c.c.Close()
	}
}

func (k *Clients) open() (n int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, c := range k.conns {
		c.mu.Lock()
		for _, v := range c.open {
			if v.Answers == 0 && !c.over && time.Since(v.Sent) < v.Timeout+100*time.Millisecond {
				n++
			}
		}
		c.mu.Unlock()
	}
	return n
}
