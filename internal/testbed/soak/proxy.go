package soak

// This file owns the TCP proxy before a server. It notes each request in the moment in which it arrives from a router, and then passes
// it on as well as the troubles of the moment let it. It always reads what a router writes: when an attempt began is not its affair.

import (
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/tidwall/redcon"
)

// weather is what is wrong with connections at the moment.
type weather struct {
	mu     sync.Mutex
	reset  float64 // part of the pieces after which a connection is reset
	pieces bool    // answers come in pieces, and some of them twice
	spoil  float64 // part of the answers that are spoilt or break off
	rng    *rand.Rand
}

func (w *weather) set(change func(w *weather)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change(w)
}

// draw says whether something of a part happens.
func (w *weather) draw(part float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return part > 0 && w.rng.Float64() < part
}

func (w *weather) now() (reset, spoil float64, pieces bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.reset, w.spoil, w.pieces
}

func (w *weather) intn(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rng.IntN(n)
}

// proxy stands before one server.
type proxy struct {
	uid     string
	record  *Record
	weather *weather
	called  func(id string) // is told of each request
	ln      net.Listener

	mu       sync.Mutex
	upstream string
	silent   chan struct{} // closed when the silence is over; nil: there is none
	conns    map[net.Conn]bool
}

func newProxy(uid, address, upstream string, record *Record, w *weather, called func(id string)) (*proxy, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{uid: uid, record: record, weather: w, called: called, ln: ln, upstream: upstream, conns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.ln.Addr().String() }

func (p *proxy) accept() {
	for {
		c, err := p.ln.Accept()
		if err != nil {
			return
		}
		go p.pass(c.(*net.TCPConn))
	}
}

// hush has nothing passed on until it is ended.
func (p *proxy) hush() (end func()) {
	over := make(chan struct{})
	p.mu.Lock()
	p.silent = over
	p.mu.Unlock()
	return func() {
		p.mu.Lock()
		if p.silent == over {
			p.silent = nil
		}
		p.mu.Unlock()
		close(over)
	}
}

func (p *proxy) waitForSound() {
	p.mu.Lock()
	silent := p.silent
	p.mu.Unlock()
	if silent != nil {
		<-silent
	}
}

// reset ends all connections at once.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		resetConn(c)
	}
}

func resetConn(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// pass carries one connection of a router.
func (p *proxy) pass(down *net.TCPConn) {
	p.mu.Lock()
	p.conns[down] = true
	upstream := p.upstream
	p.mu.Unlock()
	defer func() {
		_ = down.Close()
		p.mu.Lock()
		delete(p.conns, down)
		p.mu.Unlock()
	}()
	up, err := net.DialTimeout("tcp", upstream, time.Second)
	if err != nil {
		resetConn(down)
		return
	}
	defer up.Close()
	requests := make(chan []byte, 1024)
	go func() {
		defer up.Close()
		for b := range requests {
			p.waitForSound()
			if _, err := up.Write(b); err != nil {
				_ = down.Close()
			}
		}
	}()
	go p.answers(up, down)
	p.note(down, requests)
	close(requests)
}

// note reads what a router writes, and notes each request with the moments of its first and its last byte.
func (p *proxy) note(down net.Conn, requests chan<- []byte) {
	var pending []byte
	var first time.Time
	buffer := make([]byte, 32<<10)
	for {
		n, err := down.Read(buffer)
		now := time.Now()
		if n > 0 {
			if len(pending) == 0 {
				first = now
			}
			pending = append(pending, buffer[:n]...)
			for len(pending) > 0 {
				whole, args, _, rest, bad := redcon.ReadNextCommand(pending, nil)
				if bad != nil || !whole {
					break
				}
				p.noteOne(args, first, now)
				pending, first = append([]byte(nil), rest...), now
			}
			requests <- append([]byte(nil), buffer[:n]...)
			if reset, _, _ := p.weather.now(); p.weather.draw(reset) {
				resetConn(down)
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (p *proxy) noteOne(args [][]byte, first, whole time.Time) {
	if len(args) < 4 || string(args[0]) != "fetch" {
		return
	}
	fields := fieldsOf(string(args[2]))
	ms, _ := strconv.Atoi(fields["wait"])
	a := Attempt{
		ID: string(args[1]), Server: p.uid, Source: fields["next"], First: first, Whole: whole,
		Deadline: time.Duration(ms) * time.Millisecond,
	}
	p.record.with(func() { p.record.attempts = append(p.record.attempts, a) })
	p.called(a.ID)
}

// answers passes on what the server says, whole frame by whole frame unless a trouble says otherwise.
func (p *proxy) answers(up net.Conn, down *net.TCPConn) {
	defer down.Close()
	for r := redcon.NewReader(up); ; {
		command, err := r.ReadCommand()
		if err != nil {
			return
		}
		p.waitForSound()
		frame := append([]byte(nil), command.Raw...)
		reset, spoil, pieces := p.weather.now()
		if p.weather.draw(spoil) {
			frame = p.spoil(frame)
			if frame == nil {
				return
			}
		}
		if p.weather.draw(reset) {
			_, _ = down.Write(frame[:p.weather.intn(len(frame))])
			resetConn(down)
			return
		}
		if !pieces {
			if _, err := down.Write(frame); err != nil {
				return
			}
			continue
		}
		if !p.inPieces(down, frame) {
			return
		}
		if p.weather.draw(0.2) {
			time.Sleep(time.Duration(p.weather.intn(5)) * time.Millisecond)
			if !p.inPieces(down, frame) {
				return
			}
		}
	}
}

// inPieces writes a frame in some pieces.
func (p *proxy) inPieces(down net.Conn, frame []byte) bool {
	for left := 4; len(frame) > 0; left-- {
		n := len(frame)
		if left > 0 {
			n = 1 + p.weather.intn(len(frame))
		}
		if _, err := down.Write(frame[:n]); err != nil {
			return false
		}
		frame = frame[n:]
		time.Sleep(time.Duration(p.weather.intn(3)) * time.Millisecond)
	}
	return true
}

// spoil is what comes instead of an answer: nothing at all, half of it and an end, noise, or a length that does not fit.
func (p *proxy) spoil(frame []byte) []byte {
	switch p.weather.intn(4) {
	case 0:
		return nil
	case 1:
		return frame[:len(frame)/2]
	case 2:
		return []byte("*4\r\n$-7\r\nnoise\r\n")
	}
	return append([]byte("*4\r\n$99999999999\r\n"), frame...)
}
