package site

// This file owns the bulletin: numbered events, told to whoever asks for what comes after a number.

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Board is the bulletin.
type Board struct {
	Address string

	mu     sync.Mutex
	items  []string
	change chan struct{} // closed at each event
	mute   bool
	server *http.Server
}

// NewBoard starts a bulletin that has told nothing.
func NewBoard() *Board {
	b := &Board{change: make(chan struct{})}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err) // loopback itself is gone
	}
	b.Address = ln.Addr().String()
	b.server = &http.Server{Handler: http.HandlerFunc(b.answer), ReadHeaderTimeout: time.Second}
	go func() { _ = b.server.Serve(ln) }()
	return b
}

// Serve answers at another address too.
func (b *Board) Serve(ln net.Listener) { go func() { _ = b.server.Serve(ln) }() }

// Close ends it.
func (b *Board) Close() { _ = b.server.Close() }

// Mute has it fail every call, or answer again.
func (b *Board) Mute(on bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.mute = on
}

func (b *Board) answer(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.FormValue("after"))
	wait, _ := strconv.Atoi(r.FormValue("patience"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for late := false; ; {
		b.mu.Lock()
		items, change, mute := b.items, b.change, b.mute
		b.mu.Unlock()
		if mute {
			http.Error(w, "out of order", http.StatusServiceUnavailable)
			return
		}
		if len(items) > after || late {
			fmt.Fprint(w, page(items, after))
			return
		}
		select {
		case <-change:
		case <-end:
			late = true
		case <-r.Context().Done():
			return
		}
	}
}

func page(items []string, after int) string {
	return fmt.Sprintf(`{"no":%d,"items":[%s]}`, len(items), strings.Join(items[min(after, len(items)):], ","))
}

// Follow has it begin with the first event of another, as one that takes its place does.
func (b *Board) Follow(other *Board) {
	other.mu.Lock()
	first := other.items[0]
	other.mu.Unlock()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.items = append(b.items, first)
}

// First is the first event alone, as a configuration holds it.
func (b *Board) First() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return page(b.items[:1], 0)
}

// Known is all events so far, as a configuration holds them.
func (b *Board) Known() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return page(b.items, 0)
}

// Tell adds an event; the text lacks its number.
func (b *Board) Tell(text string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.items = append(b.items, fmt.Sprintf(`{"no":%d,%s}`, len(b.items)+1, text))
	close(b.change)
	b.change = make(chan struct{})
}

// Line is what the list says of one node.
type Line struct {
	UID, Address, Zone string
	Kind               Kind
	State              string
	Weight             float64
	Boot               time.Time // zero: long ago
}

// List tells the whole list, or changes of it.
func (b *Board) List(all bool, lines ...Line) {
	var targets []string
	for _, l := range lines {
		boot := int64(0)
		if !l.Boot.IsZero() {
			boot = l.Boot.UnixMilli()
		}
		targets = append(targets, fmt.Sprintf(`{"uid":%q,"endpoint":%q,"az":%q,"model":%q,"state":%q,"capacity_hint":%g,"boot_ms":%d}`,
			l.UID, l.Address, l.Zone, l.Kind, l.State, l.Weight, boot))
	}
	b.Tell(fmt.Sprintf(`"roster":{"rev":1,"all":%v,"targets":[%s]}`, all, strings.Join(targets, ",")))
}

func (b *Board) purge(object uint64, group int, at time.Time) {
	if object != 0 {
		b.Tell(fmt.Sprintf(`"recall":{"item":"%016x","issued":%d}`, object, at.UnixMilli()))
		return
	}
	b.Tell(fmt.Sprintf(`"recall":{"lot":%d,"issued":%d}`, group, at.UnixMilli()))
}

// Line is a node's own line.
func (n *Node) Line(state string) Line {
	return Line{UID: n.UID, Address: n.Address, Zone: "west", Kind: n.Kind, State: state, Weight: n.Weight}
}
