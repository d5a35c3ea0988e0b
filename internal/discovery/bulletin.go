// Package bulletin follows the numbered events that tell of lists and purges. This file owns the polls and the
// meaning of the events; it must never skip or repeat one, or decide what follows from it.
package discovery

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"fennelarch/internal/config"
	"fennelarch/internal/engine"
	"fennelarch/internal/limits"
	"fennelarch/internal/stalldetect"
	"fennelarch/internal/system"
	"fennelarch/policy/routing"

	"go.uber.org/zap"
)

var (
	errPage   = errors.New("not a page of events")
	errBehind = errors.New("it is behind what it told")
)

// Page is what a poll brings, and what the configuration knows at the start.
type Page struct {
	No    int64        `json:"no"`
	Items []WatchEvent `json:"items"`
}

// WatchEvent is one event.
type WatchEvent struct {
	No     int64   `json:"no"`
	Roster *roster `json:"roster"`
	Recall *recall `json:"recall"`

	bad error // it has a number, but can't be read
}

type roster struct {
	All     bool     `json:"all"`
	Targets []target `json:"targets"`
}

type target struct {
	UID    string  `json:"uid"`
	Addr   string  `json:"endpoint"`
	Zone   string  `json:"az"`
	Kind   string  `json:"model"`
	Cell   int     `json:"pod_group"`
	State  string  `json:"state"`
	Weight float64 `json:"capacity_hint"`
	Boot   float64 `json:"boot_ms"`

	bad error // it can't be read: the others of its event can
}

// UnmarshalJSON reads one line of a list. What can't be read costs that line, not the event.
func (t *target) UnmarshalJSON(text []byte) error {
	type plain target
	var p plain
	err := json.Unmarshal(text, &p)
	*t = target(p)
	t.bad = err
	return nil
}

type recall struct {
	Item   string `json:"item"`
	Lot    int    `json:"lot"`
	Issued int64  `json:"issued"`
}

// Watcher follows the bulletin.
type Watcher struct {
	limits  limits.Limits
	names   config.Names
	log     *zap.Logger
	last    int64     // number of the last event that was passed on
	gap     int64     // number before which one is missing, as seen in the last page
	current time.Time // when all that was told by then was last known, zero: not in this process
	behind  time.Time // since when pages end before the last event, zero: they do not

	OnCurrent func(asOf time.Time) // if set, is called when all that was told before a moment has been passed on
	OnGap     func()               // if set, is called when something was told that will never be
	Stalls    *stalldetect.Watch   // if set, notices that the process stood still while a poll waited
	dial      func(ctx context.Context, network, address string) (net.Conn, error)

	mu      sync.Mutex
	address string
	drop    context.CancelFunc // ends what is asked at this address, or the pause after it
}

// New returns a follower of the bulletin at an address, that has seen nothing.
func New(l limits.Limits, n config.Names, address string, log *zap.Logger) *Watcher {
	return &Watcher{limits: l, names: n, address: address, log: log, dial: system.DialContext}
}

// SetAddress makes it follow the bulletin at another address, from the event that it has come to: the numbers go on.
func (f *Watcher) SetAddress(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.address == address {
		return
	}
	f.log.Info("bulletin moves", zap.String("to", address))
	if f.address = address; f.drop != nil {
		f.drop()
	}
}

// at begins a stay at the address of the moment; a move ends it.
func (f *Watcher) at(ctx context.Context) (stay context.Context, address string, end context.CancelFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	stay, f.drop = context.WithCancel(ctx)
	return stay, f.address, f.drop
}

var states = map[string]routing.EndpointState{"gone": routing.Gone, "ready": routing.Ready, "draining": routing.Draining}

// Apply passes on the events of a page that are new. Where one is missing, what follows waits for the next page; if it is
// missing there too, it is gone. Numbers that stay behind for long are those of a new bulletin, whose first event is a whole list;
// for a moment, they are those of one that has not caught up yet, and tell what is no longer so. An event that can't be read is
// passed over, and told in the end. Ago is how long ago the events may have been told.
func (f *Watcher) Apply(p *Page, ago time.Duration, pass func(message engine.Message)) (unread error) {
	switch now := time.Now(); {
	case p.No <= 0 || p.No >= f.last:
		f.behind = time.Time{}
	case f.behind.IsZero() && f.limits.DiscoveryRewindAfter > 0:
		f.behind = now
		return fmt.Errorf("%w: at %d, not %d", errBehind, p.No, f.last)
	case now.Sub(f.behind) < f.limits.DiscoveryRewindAfter:
		return fmt.Errorf("%w: at %d, not %d", errBehind, p.No, f.last)
	default:
		f.log.Warn("bulletin went back", zap.Int64("from", f.last), zap.Int64("to", p.No))
		f.last, f.behind = 0, time.Time{}
		f.lost()
	}
	for _, it := range p.Items {
		if it.No <= f.last {
			continue
		}
		if it.No != f.last+1 && it.No != f.gap && f.last > 0 {
			f.log.Warn("bulletin has a gap", zap.Int64("after", f.last), zap.Int64("next", it.No))
			f.gap = it.No
			return unread
		}
		if it.No == f.gap {
			f.lost()
		}
		what, err := f.read(&it)
		f.last = it.No
		if err != nil { // it will be no better when it is told again
			f.lost()
			unread = errors.Join(unread, fmt.Errorf("event %d: %w", it.No, err))
			continue
		}
		if list, is := what.(engine.EndpointList); is {
			list.Age = ago
			what = list
		}
		if what != nil {
			pass(what)
		}
	}
	return unread
}

func (f *Watcher) lost() {
	if f.OnGap != nil {
		f.OnGap()
	}
}

func (f *Watcher) read(it *WatchEvent) (engine.Message, error) {
	switch {
	case it.bad != nil:
		return nil, it.bad
	case it.Roster != nil:
		l := engine.EndpointList{Complete: it.Roster.All}
		for _, t := range it.Roster.Targets {
			if t.bad != nil {
				f.log.Warn("node cannot be read", zap.String("uid", t.UID), zap.Error(t.bad))
				continue
			}
			state, known := states[t.State]
			kind, zone := slices.Index(f.names.Kinds, t.Kind), slices.Index(f.names.Zones, t.Zone)
			if !known || t.UID == "" || kind < 0 || zone < 0 {
				f.log.Warn("node cannot be used", zap.String("uid", t.UID), zap.String("state", t.State), zap.String("kind", t.Kind),
					zap.String("zone", t.Zone))
				continue
			}
			n := engine.Endpoint{UID: t.UID, Address: t.Addr, Endpoint: routing.Endpoint{
				ID: engine.EndpointID(t.UID), State: state,
				Kind: routing.KindID(kind), Zone: routing.ZoneID(zone), Cell: routing.CellID(t.Cell), Weight: t.Weight,
			}}
			if t.Boot > 0 {
				n.BootTime = time.UnixMilli(int64(t.Boot)).UTC()
			}
			l.Endpoints = append(l.Endpoints, n)
		}
		return l, nil
	case it.Recall != nil:
		p := engine.Purge{Group: routing.GroupID(it.Recall.Lot), Issued: time.UnixMilli(it.Recall.Issued).UTC()}
		if it.Recall.Item != "" {
			o, err := strconv.ParseUint(it.Recall.Item, 16, 64)
			if err != nil {
				return nil, err
			}
			p.Object = routing.ObjectID(o)
		}
		return p, nil
	}
	return nil, nil // an event to come
}

// Run polls until the context ends.
func (f *Watcher) Run(ctx context.Context, post func(at time.Time, message engine.Message)) {
	// A dial ends soon: the system's own tries may come further and further apart, and outlast an outage by seconds.
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, end := context.WithTimeout(ctx, f.limits.DiscoveryDialTimeout)
		defer end()
		return f.dial(ctx, network, address)
	}
	client := &http.Client{Transport: &http.Transport{DialContext: dial, IdleConnTimeout: f.limits.PollTimeout, DisableCompression: true}}
	pass := func(message engine.Message) { post(time.Now(), message) }
	wait, silent, before := f.limits.BackoffMin, false, ""
	for ctx.Err() == nil {
		stay, address, end := f.at(ctx)
		if address != before {
			wait, before = f.limits.BackoffMin, address
			client.CloseIdleConnections()
		}
		begun, last := time.Now(), f.last
		err := f.poll(stay, client, address, pass)
		switch {
		case err == nil && silent:
			f.log.Info("bulletin is back", zap.Int64("no", f.last))
			silent = false
		case err != nil && !silent && stay.Err() == nil:
			f.log.Warn("bulletin cannot be read", zap.Error(err))
			silent = true
		}
		if f.last > last || err == nil && time.Since(begun) > f.limits.BackoffMin {
			wait = f.limits.BackoffMin
		} else {
			// It brought nothing and did not wait either: no use in asking without a pause.
			select {
			case <-stay.Done():
			case <-time.After(wait/2 + rand.N(wait)):
			}
			wait = min(2*wait, f.limits.BackoffMax)
		}
		end()
	}
}

// poll asks once and takes what comes. An answer that is late, or once begun does not go on, is given up; the whole
// events before its end are good all the same.
func (f *Watcher) poll(stay context.Context, client *http.Client, address string, pass func(engine.Message)) error {
	begun := time.Now()
	ctx, giveUp := context.WithCancel(stay)
	defer giveUp()
	watch := time.AfterFunc(f.limits.PollTimeout, giveUp)
	defer watch.Stop()
	url := fmt.Sprintf("http://%s/bulletins?after=%d&patience=%d", address, f.last, f.limits.PollHold.Milliseconds())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	res, err := client.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("status %s", res.Status)
	}
	watch.Reset(f.limits.PollStallTimeout)
	p, cut := readPage(&steady{io.LimitReader(res.Body, f.limits.DiscoveryPageBytes), watch, f.limits.PollStallTimeout, time.Now().Add(f.limits.PollPageTimeout)})
	if cut == nil {
		_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, 1<<10))
	}
	now := time.Now()
	if err := cmp.Or(f.Apply(&p, f.age(begun, now), pass), cut); err != nil {
		return err
	}
	f.current = now
	if f.OnCurrent != nil && f.last >= p.No {
		f.OnCurrent(begun)
	}
	return nil
}

// age is how long ago what a poll brings may have been told: if it was answered soon, the events were there already, and may have come
// at any time since the last one that was answered; else they came while it waited.
func (f *Watcher) age(begun, now time.Time) time.Duration {
	switch {
	case f.current.IsZero():
		return engine.AgeBeforeStart
	case now.Sub(begun) < f.limits.PollPromptWithin || f.Stalls.Since(begun, now):
		return now.Sub(f.current)
	}
	return 0
}

// steady reads what keeps coming: the watch goes off where it stands still for too long, or goes on for too long.
type steady struct {
	io.Reader
	watch *time.Timer
	still time.Duration
	until time.Time
}

func (s *steady) Read(b []byte) (int, error) {
	n, err := s.Reader.Read(b)
	s.watch.Reset(max(0, min(s.still, time.Until(s.until))))
	return n, err
}

// ParseKnown reads the events that a configuration holds. What can't be read of them is told by the bulletin itself.
func ParseKnown(text []byte) (Page, error) { return readPage(bytes.NewReader(text)) }

// readPage reads a page event by event; of one that breaks off, it returns the whole events before the break, and no
// number.
func readPage(r io.Reader) (p Page, cut error) {
	d := json.NewDecoder(r)
	no := int64(0)
	if t, err := d.Token(); err != nil || t != json.Delim('{') {
		return p, cmp.Or(err, errPage)
	}
	for d.More() {
		name, err := d.Token()
		switch {
		case err != nil:
		case name == "no":
			err = d.Decode(&no)
		case name == "items":
			err = readItems(d, &p.Items)
		default:
			err = d.Decode(new(json.RawMessage))
		}
		if err != nil {
			return p, err
		}
	}
	if _, err := d.Token(); err != nil {
		return p, err
	}
	p.No = no
	return p, nil
}

func readItems(d *json.Decoder, items *[]WatchEvent) error {
	if t, err := d.Token(); err != nil || t != json.Delim('[') {
		return cmp.Or(err, errPage)
	}
	for d.More() {
		var text json.RawMessage
		if err := d.Decode(&text); err != nil {
			return err
		}
		var it WatchEvent
		if err := json.Unmarshal(text, &it); err != nil {
			// Its number alone says that it was told: one event that can't be used must not hide those after it.
			var bare struct {
				No int64 `json:"no"`
			}
			if json.Unmarshal(text, &bare) != nil || bare.No <= 0 {
				return err
			}
			it = WatchEvent{No: bare.No, bad: err}
		}
		*items = append(*items, it)
	}
	_, err := d.Token()
	return err
}
