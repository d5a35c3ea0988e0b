package soak

// This file owns the stand-in of discovery: each router reaches it at an address of its own, so that it is known who asked for what,
// and when; a router that asks for what comes after an event has been told of it.

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"fennelarch/internal/fake/site"
)

// ill is what is wrong with discovery at the moment.
type ill uint8

const (
	fine ill = iota
	silentPolls
	brokenPolls
)

type discovery struct {
	record *Record

	mu     sync.Mutex
	items  []string
	times  []time.Time // of the items
	change chan struct{}
	ill    ill
	end    chan struct{} // closed when the ill is over
	ports  []*port       // by router: the one in force
}

// port is where one router reaches discovery.
type port struct {
	ln     net.Listener
	server *http.Server
	closed chan struct{}
}

func newDiscovery(record *Record) *discovery {
	return &discovery{record: record, change: make(chan struct{})}
}

// open makes an address for a router, in the place of the last one.
func (d *discovery) open(router int) (address string, err error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	p := &port{ln: ln, closed: make(chan struct{})}
	p.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { d.serve(router, p, w, r) })}
	go func() { _ = p.server.Serve(ln) }()
	d.mu.Lock()
	defer d.mu.Unlock()
	for len(d.ports) <= router {
		d.ports = append(d.ports, nil)
	}
	d.ports[router] = p
	return ln.Addr().String(), nil
}

// leave ends an address: it takes nothing new, tells nothing more, and closes what is open after a while.
func (p *port) leave() {
	close(p.closed)
	_ = p.ln.Close()
	time.AfterFunc(1500*time.Millisecond, func() { _ = p.server.Close() })
}

func (d *discovery) port(router int) *port {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ports[router]
}

// suffer puts an ill in force until the end is called.
func (d *discovery) suffer(i ill) (end func()) {
	over := make(chan struct{})
	d.mu.Lock()
	d.ill, d.end = i, over
	d.mu.Unlock()
	return func() {
		d.mu.Lock()
		if d.end == over {
			d.ill, d.end = fine, nil
		}
		d.mu.Unlock()
		close(over)
	}
}

func (d *discovery) tell(text string) (no int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.items = append(d.items, fmt.Sprintf(`{"no":%d,%s}`, len(d.items)+1, text))
	d.times = append(d.times, time.Now())
	close(d.change)
	d.change = make(chan struct{})
	return len(d.items)
}

// list tells the list, or changes of it.
func (d *discovery) list(all bool, lines ...line) (no int) {
	var targets []string
	for _, l := range lines {
		boot := int64(0)
		if !l.Boot.IsZero() {
			boot = l.Boot.UnixMilli()
		}
		targets = append(targets, fmt.Sprintf(`{"uid":%q,"endpoint":%q,"az":"west","model":%q,"pod_group":%d,"state":%q,"capacity_hint":%g,"boot_ms":%d}`,
			l.UID, l.Address, l.Kind, l.cell, l.State, l.Weight, boot))
	}
	return d.tell(fmt.Sprintf(`"roster":{"rev":1,"all":%v,"targets":[%s]}`, all, strings.Join(targets, ",")))
}

// history is all events, with their times.
func (d *discovery) history(began time.Time) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var text strings.Builder
	for i, item := range d.items {
		fmt.Fprintf(&text, "%v %s\n", d.times[i].Sub(began).Round(time.Millisecond), item)
	}
	return text.String()
}

func (d *discovery) known() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return pageOf(d.items, 0)
}

func pageOf(items []string, after int) string {
	return fmt.Sprintf(`{"no":%d,"items":[%s]}`, len(items), strings.Join(items[min(after, len(items)):], ","))
}

func (d *discovery) serve(router int, p *port, w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	after, _ := strconv.Atoi(r.FormValue("after"))
	patience, _ := strconv.Atoi(r.FormValue("patience"))
	d.record.with(func() {
		if told := d.record.told[router]; after > 0 && told[after].IsZero() {
			told[after] = now
		}
	})
	late := time.After(time.Duration(patience) * time.Millisecond)
	for done := false; ; {
		d.mu.Lock()
		items, change, i, over := d.items, d.change, d.ill, d.end
		d.mu.Unlock()
		switch {
		case i == silentPolls:
			select {
			case <-over:
				continue
			case <-r.Context().Done():
				return
			}
		case i == brokenPolls && after%2 == 0:
			http.Error(w, "out of order", http.StatusServiceUnavailable)
			return
		case i == brokenPolls:
			text := pageOf(items, after)
			_, _ = fmt.Fprint(w, text[:len(text)*2/3])
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		if len(items) > after || done {
			_, _ = fmt.Fprint(w, pageOf(items, after))
			return
		}
		select {
		case <-change:
		case <-late:
			done = true
		case <-p.closed:
			<-r.Context().Done()
			return
		case <-r.Context().Done():
			return
		}
	}
}

// line is what the list says of one server.
type line struct {
	site.Line
	cell int // its group
}
