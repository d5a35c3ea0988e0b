package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// platform is a stand-in for the server that tells routers the list of servers and the purges.
type platform struct {
	stage   *stage
	address string

	mu        sync.Mutex
	events    []map[string]any
	changed   chan struct{}
	server    *http.Server
	cutEvent  int           // number of the event in whose middle an answer breaks off; 0: none
	brokenOff chan struct{} // closed once an answer has broken off
	lateness  time.Duration // by which each answer is late
	rate      int           // bytes a second of an answer; 0: no limit
	silenced  chan struct{} // closed once the polls that are open then fall silent
	asked     chan poll     // receives each poll, if somebody waits for it
}

// poll is a question for the events after a number.
type poll struct {
	at       time.Time
	patience time.Duration // how long the answer may take
}

func newPlatform(s *stage) (*platform, error) {
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	created := &platform{stage: s, address: address, changed: make(chan struct{}), brokenOff: make(chan struct{})}
	created.silenced, created.asked = make(chan struct{}), make(chan poll)
	return created, created.open()
}

// open makes the platform answer at its address.
func (p *platform) open() error {
	listener, err := net.Listen("tcp", p.address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: http.HandlerFunc(p.answer), ReadHeaderTimeout: time.Second}
	p.mu.Lock()
	p.server = server
	p.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	p.stage.log("discovery answers at %s", p.address)
	return nil
}

// shut closes the listener and all connections: nothing answers at the address.
func (p *platform) shut() {
	p.mu.Lock()
	server := p.server
	p.mu.Unlock()
	_ = server.Close()
	p.stage.log("discovery is down")
}

// publish adds an event.
func (p *platform) publish(event map[string]any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	number := len(p.events) + 1
	event["no"] = number
	p.events = append(p.events, event)
	close(p.changed)
	p.changed = make(chan struct{})
	text, _ := json.Marshal(event)
	p.stage.log("discovery tells event %d: %.200s", number, text)
}

// cutNext makes the answer with the next event break off in the middle of that event.
func (p *platform) cutNext() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cutEvent = len(p.events) + 1
}

// setLateness makes each answer late.
func (p *platform) setLateness(lateness time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lateness = lateness
	p.stage.log("discovery answers %d ms late", lateness.Milliseconds())
}

// setRate limits the bytes a second of each answer; 0 ends the limit.
func (p *platform) setRate(rate int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rate = rate
	p.stage.log("discovery sends %d bytes a second (0: no limit)", rate)
}

// silence makes the polls that are open now fall silent: they are never answered, and their connections stay open.
func (p *platform) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.silenced)
	p.silenced = make(chan struct{})
	p.stage.log("the open watch falls silent")
}

// state returns the lateness of an answer, and the channel that is closed once it falls silent.
func (p *platform) state() (lateness time.Duration, silenced chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lateness, p.silenced
}

// known returns all events so far, in the form that the configuration holds.
func (p *platform) known() map[string]any {
	p.mu.Lock()
	defer p.mu.Unlock()
	return map[string]any{"no": len(p.events), "items": append([]map[string]any{}, p.events...)}
}

// eventsAfter returns the events after a number, how many there are in all, a channel that is closed at the next one,
// and whether the answer is to break off.
func (p *platform) eventsAfter(after int) (later []map[string]any, last int, changed chan struct{}, isCut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	later = append([]map[string]any{}, p.events[min(after, len(p.events)):]...) // never null
	isCut = p.cutEvent > after && p.cutEvent <= len(p.events)
	return later, len(p.events), p.changed, isCut
}

// answer answers a poll: with the events after the number that it names, once there are any, or when its time is over.
func (p *platform) answer(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.FormValue("after"))
	patience, _ := strconv.Atoi(r.FormValue("patience"))
	p.stage.log("discovery is asked for what came after %d, for %d ms at most", after, patience)
	lateness, silenced := p.state()
	select {
	case p.asked <- poll{time.Now(), time.Duration(patience) * time.Millisecond}:
	default:
	}
	timeout := time.After(time.Duration(patience) * time.Millisecond)
	for isOver := false; ; {
		later, last, changed, isCut := p.eventsAfter(after)
		if len(later) > 0 || isOver {
			if p.waitLate(lateness, silenced, r) {
				text, _ := json.Marshal(map[string]any{"no": last, "items": later})
				p.write(w, text, isCut)
			}
			return
		}
		select {
		case <-changed:
		case <-timeout:
			isOver = true
		case <-silenced:
			<-r.Context().Done()
			return
		case <-r.Context().Done():
			return
		}
	}
}

// waitLate waits until a late answer is sent, and reports whether it is: not if its poll has fallen silent.
func (p *platform) waitLate(lateness time.Duration, silenced chan struct{}, r *http.Request) bool {
	select {
	case <-time.After(lateness):
		return true
	case <-silenced:
		<-r.Context().Done()
	case <-r.Context().Done():
	}
	return false
}

// write writes an answer. One that is cut breaks off in the middle of its last event.
func (p *platform) write(w http.ResponseWriter, text []byte, isCut bool) {
	if !isCut {
		p.writeWhole(w, text)
		return
	}
	hijacker, canHijack := w.(http.Hijacker)
	if !canHijack {
		return
	}
	connection, _, err := hijacker.Hijack()
	if err != nil {
		return
	}
	const lineEnd = "\r\n"
	head := "HTTP/1.1 200 OK" + lineEnd + "Content-Type: application/json" + lineEnd +
		fmt.Sprintf("Content-Length: %d", len(text)) + lineEnd + lineEnd
	part := text[:len(text)-20]
	_, _ = connection.Write(append([]byte(head), part...))
	time.Sleep(20 * time.Millisecond)
	_ = connection.Close()
	p.stage.log("the answer broke off after %q", part)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cutEvent > 0 {
		p.cutEvent = 0
		close(p.brokenOff)
	}
}

// writeWhole writes a whole answer, in pieces if the bytes a second are limited.
func (p *platform) writeWhole(w http.ResponseWriter, text []byte) {
	const piecesPerSecond = 20
	p.mu.Lock()
	rate := p.rate
	p.mu.Unlock()
	piece := len(text)
	if rate > 0 {
		piece = max(1, rate/piecesPerSecond)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	for sent := 0; sent < len(text); {
		until := min(len(text), sent+piece)
		if _, err := w.Write(text[sent:until]); err != nil {
			p.stage.log("the router gave up an answer after %d of %d bytes", sent, len(text))
			return
		}
		_ = http.NewResponseController(w).Flush()
		if sent = until; sent < len(text) {
			time.Sleep(time.Second / piecesPerSecond)
		}
	}
	p.stage.log("discovery has answered with %d bytes: %.100s", len(text), text)
}
