package soak

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

// discoveryState is the fault in force at discovery, if any.
type discoveryState uint8

const (
	discoveryHealthy discoveryState = iota
	discoveryHoldsPolls
	discoveryBreaksPolls
)

// oldPortLifetime is how long open polls may continue at a port that shuts down.
const oldPortLifetime = 1500 * time.Millisecond

// discovery is a fake discovery server. Each router has its own port, so that a poll shows which events the router has
// received: a router that polls for the events after a given one has received that event.
type discovery struct {
	record *Record
	events *site.EventLog

	serving sync.WaitGroup // the listeners of all ports

	mu        sync.Mutex
	state     discoveryState
	recovered chan struct{}    // closed when the fault ends
	ports     []*discoveryPort // by router: its current port
}

// discoveryPort is the port at which one router reaches discovery.
type discoveryPort struct {
	listener net.Listener
	server   *http.Server
	closed   chan struct{}
}

func newDiscovery(record *Record, routers int) *discovery {
	return &discovery{record: record, events: site.NewEventLog(), ports: make([]*discoveryPort, routers)}
}

// open opens a new port for a router, which replaces the router's previous port.
func (d *discovery) open(router int) (address string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	port := &discoveryPort{listener: listener, closed: make(chan struct{})}
	port.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.poll(router, port, w, r)
	})}
	d.serving.Go(func() { _ = port.server.Serve(listener) })
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ports[router] = port
	return listener.Addr().String(), nil
}

// shutDown stops a port. The port accepts no connections and sends no events from now on, and closes open connections
// after oldPortLifetime.
func (p *discoveryPort) shutDown() {
	close(p.closed)
	_ = p.listener.Close()
	time.AfterFunc(oldPortLifetime, func() { _ = p.server.Close() })
}

func (d *discovery) port(router int) *discoveryPort {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ports[router]
}

// close closes all ports immediately.
func (d *discovery) close() {
	d.mu.Lock()
	for _, port := range d.ports {
		_ = port.server.Close()
	}
	d.mu.Unlock()
	d.serving.Wait()
}

// impair puts a fault in force until end is called.
func (d *discovery) impair(state discoveryState) (end func()) {
	recovered := make(chan struct{})
	d.mu.Lock()
	d.state, d.recovered = state, recovered
	d.mu.Unlock()
	return func() {
		d.mu.Lock()
		if d.recovered == recovered {
			d.state, d.recovered = discoveryHealthy, nil
		}
		d.mu.Unlock()
		close(recovered)
	}
}

func (d *discovery) currentState() (discoveryState, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state, d.recovered
}

func (d *discovery) publish(text string) (event int) { return d.events.Append(text) }

// history returns all events with the times at which they were published, one per line.
func (d *discovery) history(startedAt time.Time) string {
	events, _ := d.events.Events()
	var text strings.Builder
	for _, event := range events {
		fmt.Fprintf(&text, "%v %s\n", event.PublishedAt.Sub(startedAt).Round(time.Millisecond), event.Text)
	}
	return text.String()
}

func (d *discovery) knownEvents() string {
	events, _ := d.events.Events()
	return site.Page(events, 0)
}

func (d *discovery) poll(router int, port *discoveryPort, w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.FormValue("after"))
	waitMS, _ := strconv.Atoi(r.FormValue("patience"))
	d.record.recordPoll(router, after)
	timeout := time.After(time.Duration(waitMS) * time.Millisecond)
	for timedOut := false; ; {
		events, changed := d.events.Events()
		state, recovered := d.currentState()
		switch state {
		case discoveryHoldsPolls:
			select {
			case <-recovered:
				continue
			case <-r.Context().Done():
				return
			}
		case discoveryBreaksPolls:
			breakPoll(w, after, site.Page(events, after))
			return
		case discoveryHealthy:
		}
		if len(events) > after || timedOut {
			_, _ = fmt.Fprint(w, site.Page(events, after))
			return
		}
		select {
		case <-changed:
		case <-timeout:
			timedOut = true
		case <-port.closed:
			<-r.Context().Done()
			return
		case <-r.Context().Done():
			return
		}
	}
}

// breakPoll fails a poll, either with an error or with a truncated response.
func breakPoll(w http.ResponseWriter, after int, page string) {
	if after%2 == 0 {
		http.Error(w, "out of order", http.StatusServiceUnavailable)
		return
	}
	_, _ = fmt.Fprint(w, page[:len(page)*2/3])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}
