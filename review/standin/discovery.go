package standin

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	maxPatience   = 5 * time.Second
	checkInterval = 2 * time.Millisecond
)

// Discovery is the discovery server of one router: it numbers the events and answers polls for them.
type Discovery struct {
	Address string

	mu     sync.Mutex
	events []map[string]any
	server *http.Server
	pause  time.Duration // between the head and the body of an answer
}

// NewDiscovery starts a discovery server.
func NewDiscovery() (*Discovery, error) {
	d := &Discovery{Address: "127.0.0.1:0"}
	return d, d.Up()
}

// Up listens at the server's address.
func (d *Discovery) Up() error {
	listener, err := net.Listen("tcp", d.Address)
	if err != nil {
		return err
	}
	handler := http.NewServeMux()
	handler.HandleFunc("GET /bulletins", d.answer)
	server := &http.Server{Handler: handler}
	d.mu.Lock()
	d.Address, d.server = listener.Addr().String(), server
	d.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	return nil
}

// Down closes the listener and all connections. Events can still be published.
func (d *Discovery) Down() {
	d.mu.Lock()
	server := d.server
	d.mu.Unlock()
	_ = server.Close()
}

// SetPause makes each answer pause between its head and its body.
func (d *Discovery) SetPause(pause time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pause = pause
}

// Publish adds an event.
func (d *Discovery) Publish(event map[string]any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	event["no"] = len(d.events) + 1
	d.events = append(d.events, event)
}

// PublishList adds a list of servers, complete or of changes.
func (d *Discovery) PublishList(isComplete bool, targets ...map[string]any) {
	d.Publish(map[string]any{"roster": map[string]any{"rev": 1, "all": isComplete, "targets": targets}})
}

// Page returns the events after a number, in the form of a poll's answer.
func (d *Discovery) Page(after int) map[string]any {
	d.mu.Lock()
	defer d.mu.Unlock()
	items := []map[string]any{}
	if after < len(d.events) {
		items = append(items, d.events[after:]...)
	}
	return map[string]any{"no": len(d.events), "items": items}
}

func (d *Discovery) last() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.events)
}

// answer answers a poll when there are later events, or after the time that it asks for.
func (d *Discovery) answer(w http.ResponseWriter, request *http.Request) {
	after, _ := strconv.Atoi(request.URL.Query().Get("after"))
	patience, _ := strconv.Atoi(request.URL.Query().Get("patience"))
	end := time.Now().Add(min(maxPatience, time.Duration(patience)*time.Millisecond))
	for d.last() <= after && time.Now().Before(end) && request.Context().Err() == nil {
		time.Sleep(checkInterval)
	}
	text, _ := json.Marshal(d.Page(after))
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	d.mu.Lock()
	pause := d.pause
	d.mu.Unlock()
	if pause > 0 {
		w.WriteHeader(http.StatusOK)
		if flusher, canFlush := w.(http.Flusher); canFlush {
			flusher.Flush()
		}
		time.Sleep(pause)
	}
	_, _ = w.Write(text)
}
