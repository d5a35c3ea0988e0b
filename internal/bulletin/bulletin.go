// Package bulletin follows the numbered events that tell of lists and purges. This file owns the polls and the
// meaning of the events; it must never skip or repeat one, or decide what follows from it.
package bulletin

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"

	"fennelarch/internal/engine"
	"fennelarch/internal/limits"
	"fennelarch/internal/settings"
	"fennelarch/rules"
)

// Page is what a poll brings, and what the configuration knows at the start.
type Page struct {
	No    int64  `json:"no"`
	Items []Item `json:"items"`
}

// Item is one event.
type Item struct {
	No     int64   `json:"no"`
	Roster *roster `json:"roster"`
	Recall *recall `json:"recall"`
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
}

type recall struct {
	Item   string `json:"item"`
	Lot    int    `json:"lot"`
	Issued int64  `json:"issued"`
}

// Follower follows the bulletin.
type Follower struct {
	limits limits.Limits
	names  settings.Names
	log    *zap.Logger
	last   int64 // number of the last event that was passed on
	gap    int64 // number before which one is missing, as seen in the last page
}

// New returns a follower that has seen nothing.
func New(l limits.Limits, n settings.Names, log *zap.Logger) *Follower {
	return &Follower{limits: l, names: n, log: log}
}

// NodeID is the id of a node: a hash of its uid, so that all routers agree on it.
func NodeID(uid string) rules.NodeID {
	h := fnv.New64a()
	_, _ = h.Write([]byte(uid))
	return rules.NodeID(max(1, h.Sum64()))
}

var states = map[string]rules.State{"gone": rules.Gone, "ready": rules.Ready, "draining": rules.Draining}

// Take passes on the events of a page that are new. Where one is missing, what follows waits for the next page; if it is
// missing there too, it is gone. Numbers that went back are those of a new bulletin, whose first event is a whole list.
func (f *Follower) Take(p *Page, pass func(what any)) error {
	if p.No < f.last {
		f.log.Warn("bulletin went back", zap.Int64("from", f.last), zap.Int64("to", p.No))
		f.last = 0
	}
	for _, it := range p.Items {
		if it.No <= f.last {
			continue
		}
		if it.No != f.last+1 && it.No != f.gap && f.last > 0 {
			f.log.Warn("bulletin has a gap", zap.Int64("after", f.last), zap.Int64("next", it.No))
			f.gap = it.No
			return nil
		}
		what, err := f.read(&it)
		f.last = it.No
		if err != nil {
			return fmt.Errorf("event %d: %w", it.No, err)
		}
		if what != nil {
			pass(what)
		}
	}
	return nil
}

func (f *Follower) read(it *Item) (any, error) {
	switch {
	case it.Roster != nil:
		l := engine.List{All: it.Roster.All}
		for _, t := range it.Roster.Targets {
			state, known := states[t.State]
			kind, zone := slices.Index(f.names.Kinds, t.Kind), slices.Index(f.names.Zones, t.Zone)
			if !known || t.UID == "" || kind < 0 || zone < 0 {
				f.log.Warn("node cannot be used", zap.String("uid", t.UID), zap.String("state", t.State), zap.String("kind", t.Kind),
					zap.String("zone", t.Zone))
				continue
			}
			n := engine.Node{UID: t.UID, Address: t.Addr, Member: rules.Member{Node: NodeID(t.UID), State: state,
				Kind: rules.KindID(kind), Zone: rules.ZoneID(zone), Cell: rules.CellID(t.Cell), Weight: t.Weight}}
			if t.Boot > 0 {
				n.Boot = time.UnixMilli(int64(t.Boot)).UTC()
			}
			l.Nodes = append(l.Nodes, n)
		}
		return l, nil
	case it.Recall != nil:
		p := engine.Purge{Group: rules.GroupID(it.Recall.Lot), Issued: time.UnixMilli(it.Recall.Issued).UTC()}
		if it.Recall.Item != "" {
			o, err := strconv.ParseUint(it.Recall.Item, 16, 64)
			if err != nil {
				return nil, err
			}
			p.Object = rules.ObjectID(o)
		}
		return p, nil
	}
	return nil, nil // an event to come
}

// Run polls until the context ends.
func (f *Follower) Run(ctx context.Context, address string, post func(at time.Time, what any)) {
	client := &http.Client{Timeout: f.limits.Silent}
	pass := func(what any) { post(time.Now(), what) }
	wait, silent := f.limits.Again, false
	for ctx.Err() == nil {
		begun, last := time.Now(), f.last
		err := f.poll(ctx, client, address, pass)
		switch {
		case err == nil:
			if silent {
				f.log.Info("bulletin is back", zap.Int64("no", f.last))
			}
			silent = false
			if f.last > last || time.Since(begun) > f.limits.Again {
				wait = f.limits.Again
				continue
			}
			// It brought nothing and did not wait either: no use in asking without a pause.
		case !silent && ctx.Err() == nil:
			f.log.Warn("bulletin cannot be read", zap.Error(err))
			silent = true
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait/2 + rand.N(wait)):
		}
		wait = min(2*wait, f.limits.Late)
	}
}

func (f *Follower) poll(ctx context.Context, client *http.Client, address string, pass func(any)) error {
	url := fmt.Sprintf("http://%s/bulletins?after=%d&patience=%d", address, f.last, f.limits.Poll.Milliseconds())
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
	var p Page
	if err := json.NewDecoder(io.LimitReader(res.Body, int64(f.limits.Events))).Decode(&p); err != nil {
		return err
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, 1<<10))
	return f.Take(&p, pass)
}
