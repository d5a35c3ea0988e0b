package soak

// This file owns the clients of one router: steady ones, and those that take back, leave, read nothing, write in pieces, or come back
// after a long rest. What each request met on its connection is noted.

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"fennelarch/internal/fake/site"

	"github.com/tidwall/redcon"
)

// habits are how clients behave at the moment.
type habits struct {
	mu     sync.Mutex
	cancel float64 // part of the requests that are taken back early
	leave  float64 // part of the requests after which the connection is ended
	held   bool    // some connections read nothing
}

func (h *habits) set(change func(h *habits)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	change(h)
}

func (h *habits) now() (cancel, leave float64, held bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.cancel, h.leave, h.held
}

// clients are all clients of one router.
type clients struct {
	router  int
	address string
	record  *Record
	habits  *habits
	objects int
	closed  atomic.Bool // no new connection
	quiet   atomic.Bool // nothing at all is sent

	mu    sync.Mutex
	rng   *rand.Rand
	conns []*connection
	sums  sync.Map // object to the tag of a copy that clients hold
}

// connection is one of them.
type connection struct {
	clients *clients
	conn    *net.TCPConn
	reading sync.Mutex // held while it reads nothing

	mu    sync.Mutex
	tag   int
	open  map[string]*Request
	heard time.Time // when something last came
	over  bool
	deaf  interval // when it last read nothing
}

const openMost = 24

// pick is a connection with room, or a new one.
func (k *clients) pick() *connection {
	k.mu.Lock()
	defer k.mu.Unlock()
	live := k.conns[:0]
	for _, c := range k.conns {
		c.mu.Lock()
		over := c.over
		c.mu.Unlock()
		if !over {
			live = append(live, c)
		}
	}
	k.conns = live
	const usual = 4
	if len(k.conns) >= usual || len(k.conns) > 0 && k.rng.Float64() < 0.95 {
		c := k.conns[k.rng.IntN(len(k.conns))]
		c.mu.Lock()
		room := c.unanswered() < openMost
		c.mu.Unlock()
		if room {
			return c
		}
	}
	if k.closed.Load() {
		return nil
	}
	up, err := net.DialTimeout("tcp", k.address, time.Second)
	if err != nil {
		return nil
	}
	c := &connection{clients: k, conn: up.(*net.TCPConn), open: map[string]*Request{}}
	k.conns = append(k.conns, c)
	go c.read()
	return c
}

func (k *clients) float() float64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.rng.Float64()
}

func (k *clients) intn(n int) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.rng.IntN(n)
}

// newRequest draws a request.
func (k *clients) newRequest() *Request {
	k.mu.Lock()
	defer k.mu.Unlock()
	class := classes[0]
	switch draw := k.rng.Float64(); {
	case draw < 0.2:
		class = classes[1]
	case draw < 0.32:
		class = classes[2]
	case draw < 0.44:
		class = classes[3]
	case draw < 0.52:
		class = classes[4]
	}
	spread := k.rng.Float64()
	r := &Request{
		ID: fmt.Sprintf("%016x", k.rng.Uint64()|1), Router: k.router, Class: class,
		Object: 1 + uint64(spread*spread*float64(k.objects)), Timeout: class.Timeout,
	}
	if k.rng.Float64() < 0.1 { // little time is left for it
		r.Timeout = time.Duration(20+k.rng.IntN(200)) * time.Millisecond
	}
	if tag, held := k.sums.Load(r.Object); held && k.rng.Float64() < 0.3 && class.Effect == Repeatable {
		r.Version = tag.(string)
	}
	return r
}

// ask sends a request, and does what its client does with it.
func (k *clients) ask() {
	c := k.pick()
	if c == nil {
		return
	}
	r := k.newRequest()
	cancel, leave, held := k.habits.now()
	if held && k.float() < 0.1 {
		go c.hold()
		return
	}
	tag, sent := c.send(r, k.float() < 0.05)
	if !sent {
		return
	}
	switch {
	case k.float() < leave:
		time.AfterFunc(time.Duration(k.intn(60))*time.Millisecond, func() { c.leave(k.float() < 0.5, "a burst of leaving") })
	case k.float() < cancel+0.03:
		time.AfterFunc(time.Duration(k.intn(150))*time.Millisecond, func() { c.cancel(tag, r) })
	default:
		time.AfterFunc(r.Timeout+200*time.Millisecond, func() { c.cancel(tag, r) }) // it stops waiting
	}
}

func (c *connection) command(r *Request, tag string) []byte {
	fields := fmt.Sprintf("req=%s,timeout=%d,subject=%016x,piece=0,lot=%d,need=%.1f", r.ID, r.Timeout.Milliseconds(), r.Object,
		r.Object%16, sizeKB(r.Object))
	if r.Version != "" {
		fields += ",ver=" + r.Version
	}
	body := ""
	if r.Class.Write {
		body = strings.Repeat("signed ", 1+int(r.Object%400))
	}
	return words("DO", tag, r.Class.Name, fields, body)
}

// send writes a request, in pieces if it is to.
func (c *connection) send(r *Request, pieces bool) (tag string, sent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.over {
		return "", false
	}
	c.tag++
	tag = strconv.Itoa(c.tag)
	text := c.command(r, tag)
	r.Begun = time.Now()
	c.open[tag] = r
	r.Unread = c.unanswered() == 1
	c.clients.record.with(func() { c.clients.record.requests[r.ID] = r })
	_ = c.conn.SetWriteDeadline(r.Begun.Add(time.Second))
	for pieces && len(text) > 20 {
		n := 1 + len(text)/4
		if _, err := c.conn.Write(text[:n]); err != nil {
			c.end(err)
			return tag, false
		}
		text = text[n:]
		time.Sleep(20 * time.Millisecond)
	}
	if _, err := c.conn.Write(text); err != nil {
		c.end(err)
		return tag, false
	}
	r.Sent = time.Now()
	return tag, true
}

// unanswered is how many requests are open; those answered lately are kept, for a second answer would be seen.
func (c *connection) unanswered() (n int) {
	for _, r := range c.open {
		if r.Answers == 0 && r.Cancelled.IsZero() {
			n++
		}
	}
	return n
}

// cancel takes a request back that has no answer yet.
func (c *connection) cancel(tag string, r *Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.over || r.Answers > 0 || c.open[tag] != r || !r.Cancelled.IsZero() {
		return
	}
	_ = c.conn.SetWriteDeadline(time.Now().Add(time.Second))
	if _, err := c.conn.Write(words("UNDO", tag)); err != nil {
		c.end(err)
		return
	}
	r.Cancelled = time.Now()
}

// leave ends the connection from this side.
func (c *connection) leave(reset bool, why string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.over {
		return
	}
	now := time.Now()
	for _, r := range c.open {
		if r.Answers == 0 {
			r.Left, r.Because = now, why
			r.Deaf = c.deaf.meets(r.Begun, now)
		}
	}
	if reset {
		_ = c.conn.SetLinger(0)
	}
	_ = c.conn.Close()
	c.over = true
}

// hold reads nothing for a while; meanwhile it sends much, and takes some of it back.
func (c *connection) hold() {
	c.reading.Lock()
	defer func() {
		c.mu.Lock()
		c.deaf = interval{c.deaf.from, time.Now()}
		c.mu.Unlock()
		c.reading.Unlock()
	}()
	c.mu.Lock()
	c.deaf = interval{from: time.Now()}
	c.mu.Unlock()
	for range 8 {
		r := c.clients.newRequest()
		r.Timeout = 2 * time.Second
		tag, sent := c.send(r, false)
		if !sent {
			return
		}
		if c.clients.float() < 0.6 {
			time.Sleep(time.Duration(c.clients.intn(30)) * time.Millisecond)
			c.cancel(tag, r)
		}
		c.mu.Lock()
		if !c.over {
			var pings []byte
			for range 30 {
				c.tag++
				pings = append(pings, words("PING", strconv.Itoa(c.tag))...)
			}
			_ = c.conn.SetWriteDeadline(time.Now().Add(time.Second))
			_, _ = c.conn.Write(pings)
		}
		c.mu.Unlock()
	}
	time.Sleep(time.Duration(200+c.clients.intn(600)) * time.Millisecond)
}

func (c *connection) read() {
	for r := redcon.NewReader(c.conn); ; {
		c.reading.Lock()
		c.reading.Unlock() //nolint:staticcheck // it waits here while it is to read nothing
		answer, err := r.ReadCommand()
		c.mu.Lock()
		if err != nil {
			c.end(err)
			c.mu.Unlock()
			return
		}
		c.take(answer.Args, time.Now())
		c.mu.Unlock()
	}
}

// take notes an answer.
func (c *connection) take(args [][]byte, now time.Time) {
	c.heard = now
	if len(args) < 2 {
		return
	}
	if string(args[0]) == "-BUSY" { // told unasked: the connection has no place, and nothing of it was read
		for _, r := range c.open {
			r.TurnedAway = r.Answers == 0
		}
	}
	r := c.open[string(args[0])]
	if r == nil {
		return
	}
	for _, other := range c.open {
		other.Unread = false
	}
	if r.Answers++; r.Answers > 1 {
		return
	}
	r.Answered, r.Word = now, string(args[1])
	r.Deaf = c.deaf.meets(r.Begun, now)
	if len(args) > 2 {
		r.Current = strings.Contains(string(args[2]), "unchanged=1")
	}
	if len(args) > 3 {
		r.Body = string(args[3])
		if _, born, whole := site.ParseBody(r.Body); whole {
			c.clients.sums.Store(r.Object, sum(born))
		}
	}
	// It is kept for a while: a second answer would be seen.
	tag := string(args[0])
	time.AfterFunc(2*time.Second, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.open, tag)
	})
}

// end notes that the connection has ended.
func (c *connection) end(err error) {
	if c.over {
		return
	}
	c.over = true
	now := time.Now()
	for _, r := range c.open {
		if r.Answers == 0 {
			r.Deaf = c.deaf.meets(r.Begun, now)
			r.Ended, r.Reset = now, errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
		}
	}
	_ = c.conn.Close()
}

// run asks at a rate until the end.
func (k *clients) run(rate float64, end time.Time) {
	for next := time.Now(); ; {
		k.mu.Lock()
		next = next.Add(time.Duration(k.rng.ExpFloat64() / rate * float64(time.Second)))
		k.mu.Unlock()
		if next.After(end) {
			return
		}
		time.Sleep(time.Until(next))
		if !k.quiet.Load() {
			k.ask()
		}
	}
}

// rude connects and sends what no client should.
func (k *clients) rude() {
	up, err := net.DialTimeout("tcp", k.address, time.Second)
	if err != nil {
		return
	}
	defer up.Close()
	_ = up.SetDeadline(time.Now().Add(7 * time.Second))
	texts := []string{
		"GET / HTTP/1.1\r\n\r\n", "*3\r\n$99999999\r\n", "*5\r\n$2\r\nDO\r\n$1\r\n7\r\n", "*2\r\n$4\r\nPING\r\n$1", "",
		strings.Repeat("*1\r\n", 20000), string(words("DO", "1", "film", "req=1")) + strings.Repeat("x", 200_000),
	}
	_, _ = io.WriteString(up, texts[k.intn(len(texts))])
	_, _ = io.Copy(io.Discard, up)
}

// settle waits until no request is open any more, then closes all connections.
func (k *clients) settle() {
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end) && k.open() > 0; time.Sleep(10 * time.Millisecond) {
	}
	time.Sleep(100 * time.Millisecond) // for an answer too many
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, c := range k.conns {
		c.leave(false, "the run is over")
	}
}

func (k *clients) open() (n int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, c := range k.conns {
		c.mu.Lock()
		for _, r := range c.open {
			if !c.over && r.Answers == 0 && r.Cancelled.IsZero() && time.Since(r.Sent) < r.Timeout+time.Second {
				n++
			}
		}
		c.mu.Unlock()
	}
	return n
}
