package site

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// DiscoveryServer publishes numbered events to clients that poll for the events after a given number.
type DiscoveryServer struct {
	Address string

	events  *EventLog
	server  *http.Server
	serving sync.WaitGroup // one goroutine per listener

	mu            sync.Mutex
	isUnavailable bool
}

// NewDiscoveryServer starts a discovery server without events on a free loopback port.
func NewDiscoveryServer() *DiscoveryServer {
	d := &DiscoveryServer{events: NewEventLog()}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err) // no port of the loopback address is free
	}
	d.Address = listener.Addr().String()
	d.server = &http.Server{Handler: http.HandlerFunc(d.poll), ReadHeaderTimeout: time.Second}
	d.Serve(listener)
	return d
}

// Serve answers polls on an additional listener until the server is closed.
func (d *DiscoveryServer) Serve(listener net.Listener) {
	d.serving.Go(func() { _ = d.server.Serve(listener) })
}

// Close stops the server and closes all its listeners.
func (d *DiscoveryServer) Close() {
	_ = d.server.Close()
	d.serving.Wait()
}

// Suspend makes polls fail with status 503 until Resume. A waiting poll fails when its wait ends.
func (d *DiscoveryServer) Suspend() { d.setUnavailable(true) }

// Resume makes polls succeed again.
func (d *DiscoveryServer) Resume() { d.setUnavailable(false) }

func (d *DiscoveryServer) setUnavailable(isUnavailable bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.isUnavailable = isUnavailable
}

// poll answers with the events after the number that the request names. If there are none, it waits for one until the
// request's timeout.
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

// CopyFirstEvent adds the first event of another server, as if this server replaced it.
func (d *DiscoveryServer) CopyFirstEvent(other *DiscoveryServer) {
	events, _ := other.events.Events()
	d.events.appendEvent(events[0])
}

// FirstEvent returns the first event alone, in the form in which a configuration holds known events.
func (d *DiscoveryServer) FirstEvent() string {
	events, _ := d.events.Events()
	return Page(events[:1], 0)
}

// KnownEvents returns all events so far, in the form in which a configuration holds known events.
func (d *DiscoveryServer) KnownEvents() string {
	events, _ := d.events.Events()
	return Page(events, 0)
}

// Publish publishes an event, given without its number, and returns the number.
func (d *DiscoveryServer) Publish(text string) (number int) { return d.events.Append(text) }

// PublishList publishes the whole endpoint list.
func (d *DiscoveryServer) PublishList(endpoints ...Endpoint) { d.Publish(ListEvent(endpoints...)) }

// PublishChanges publishes changes to the endpoint list.
func (d *DiscoveryServer) PublishChanges(endpoints ...Endpoint) {
	d.Publish(ChangesEvent(endpoints...))
}
