package site

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// DiscoveryServer publishes numbered events to whoever polls for those after a number.
type DiscoveryServer struct {
	Address string

	events  *EventLog
	server  *http.Server
	serving sync.WaitGroup // its listeners

	mu            sync.Mutex
	isUnavailable bool
}

// NewDiscoveryServer starts a discovery server without events, on a port of its own.
func NewDiscoveryServer() *DiscoveryServer {
	d := &DiscoveryServer{events: NewEventLog()}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err) // loopback itself is gone
	}
	d.Address = listener.Addr().String()
	d.server = &http.Server{Handler: http.HandlerFunc(d.poll), ReadHeaderTimeout: time.Second}
	d.Serve(listener)
	return d
}

// Serve answers at another address too, until the server is closed.
func (d *DiscoveryServer) Serve(listener net.Listener) {
	d.serving.Go(func() { _ = d.server.Serve(listener) })
}

// Close ends the server and all its listeners.
func (d *DiscoveryServer) Close() {
	_ = d.server.Close()
	d.serving.Wait()
}

// Suspend has every poll fail with 503, also those that wait, until Resume.
func (d *DiscoveryServer) Suspend() { d.setUnavailable(true) }

// Resume has polls answered again.
func (d *DiscoveryServer) Resume() { d.setUnavailable(false) }

func (d *DiscoveryServer) setUnavailable(isUnavailable bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.isUnavailable = isUnavailable
}

// poll answers with the events after a number; where there are none, it waits for one as long as the poll says.
func (d *DiscoveryServer) poll(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.FormValue("after"))
	waitMS, _ := strconv.Atoi(r.FormValue("patience"))
	timeout := time.After(time.Duration(waitMS) * time.Millisecond)
	for timedOut := false; ; {
		events, changed := d.events.Events()
		d.mu.Lock()
		isUnavailable := d.isUnavailable
		d.mu.Unlock()
		if isUnavailable {
			http.Error(w, "out of order", http.StatusServiceUnavailable)
			return
		}
		if len(events) > after || timedOut {
			_, _ = fmt.Fprint(w, Page(events, after))
			return
		}
		select {
		case <-changed:
		case <-timeout:
			timedOut = true
		case <-r.Context().Done():
			return
		}
	}
}

// Follow has it begin with the first event of another server, as one that takes its place does.
func (d *DiscoveryServer) Follow(other *DiscoveryServer) {
	events, _ := other.events.Events()
	d.events.appendEvent(events[0])
}

// First is the first event alone, as a configuration holds it.
func (d *DiscoveryServer) First() string {
	events, _ := d.events.Events()
	return Page(events[:1], 0)
}

// Known is all events so far, as a configuration holds them.
func (d *DiscoveryServer) Known() string {
	events, _ := d.events.Events()
	return Page(events, 0)
}

// Publish publishes an event; the text lacks its number, which is returned.
func (d *DiscoveryServer) Publish(text string) (number int) { return d.events.Append(text) }

// PublishList publishes the whole endpoint list.
func (d *DiscoveryServer) PublishList(endpoints ...Endpoint) { d.Publish(ListEvent(endpoints...)) }

// PublishChanges publishes changes of the endpoint list.
func (d *DiscoveryServer) PublishChanges(endpoints ...Endpoint) {
	d.Publish(ChangesEvent(endpoints...))
}
