// Package soak plays many real router processes among stand-ins on loopback while two or three troubles overlap at any time,
// and judges what they did from outside: by what clients sent and got, and by what reached servers.
//
// This file owns the plan of a run: which trouble begins when, for how long, and whom it meets. The same seed and scale make the
// same plan; a plan can be written down, and read again.
package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Kind names a trouble.
type Kind string

// The troubles. The comment says whom a trouble meets.
const (
	StopRouter      Kind = "stop-router"      // a router: SIGTERM, and a start once it has ended
	KillRouter      Kind = "kill-router"      // a router: SIGKILL, and a start
	FreezeRouter    Kind = "freeze-router"    // a router: SIGSTOP, and SIGCONT at the end
	ReloadRouters   Kind = "reload-routers"   // all routers: discovery moves, SIGHUP
	FewDescriptors  Kind = "few-descriptors"  // a router: next to no descriptors are left to it
	HangServer      Kind = "hang-server"      // a server: it takes requests and says nothing
	FailServer      Kind = "fail-server"      // a server: errors, after it ran or before
	RefuseServer    Kind = "refuse-server"    // a server: it is full
	RestartServer   Kind = "restart-server"   // a server: it resets its connections and starts again, cold
	DrainServer     Kind = "drain-server"     // a server: it is told to drain, and is ready again at the end
	ReplaceServer   Kind = "replace-server"   // a server: it is gone, and another has its address
	MoveServer      Kind = "move-server"      // a server: it is told at another address
	ResetLinks      Kind = "reset-links"      // all servers: connections are reset at some byte
	SilentLinks     Kind = "silent-links"     // a server: nothing is passed on, either way
	PieceLinks      Kind = "piece-links"      // all servers: answers come in pieces, some of them twice
	SpoilLinks      Kind = "spoil-links"      // all servers: some answers are spoilt, or break off
	SilentDiscovery Kind = "silent-discovery" // all routers: polls are held without a word
	BrokenDiscovery Kind = "broken-discovery" // all routers: polls break off or are refused
	CancelBurst     Kind = "cancel-burst"     // all clients: half of all requests are taken back
	LeaveBurst      Kind = "leave-burst"      // all clients: connections end with requests open
	HeldClients     Kind = "held-clients"     // all clients: some read nothing, and send and cancel meanwhile
	RudeClients     Kind = "rude-clients"     // all routers: rubbish, half requests, silence
)

// kinds are all troubles, with how long one lasts at the most and how likely it is.
var kinds = []struct {
	kind   Kind
	most   time.Duration
	weight int
}{
	{StopRouter, 100 * time.Millisecond, 6},
	{KillRouter, 100 * time.Millisecond, 3},
	{FreezeRouter, 900 * time.Millisecond, 6},
	{ReloadRouters, 100 * time.Millisecond, 2},
	{FewDescriptors, 700 * time.Millisecond, 2},
	{HangServer, 2 * time.Second, 3},
	{FailServer, 2 * time.Second, 3},
	{RefuseServer, 2 * time.Second, 2},
	{RestartServer, 100 * time.Millisecond, 4},
	{DrainServer, 4 * time.Second, 3},
	{ReplaceServer, 100 * time.Millisecond, 3},
	{MoveServer, 100 * time.Millisecond, 2},
	{ResetLinks, time.Second, 4},
	{SilentLinks, 1500 * time.Millisecond, 3},
	{PieceLinks, 2 * time.Second, 3},
	{SpoilLinks, time.Second, 3},
	{SilentDiscovery, 3 * time.Second, 2},
	{BrokenDiscovery, 2 * time.Second, 2},
	{CancelBurst, time.Second, 4},
	{LeaveBurst, 500 * time.Millisecond, 3},
	{HeldClients, time.Second, 3},
	{RudeClients, 2 * time.Second, 2},
}

// Trouble is one trouble of a plan.
type Trouble struct {
	At, For time.Duration
	Kind    Kind
	Target  int // which router or server, taken modulo how many there are
}

// String is the trouble as a line of a plan.
func (t Trouble) String() string {
	return fmt.Sprintf("at %v for %v %s %d", t.At, t.For, t.Kind, t.Target)
}

// overlap is how many troubles are under way at any time, on the average.
const overlap = 3

// NewPlan draws a plan for so long.
func NewPlan(seed uint64, long time.Duration) []Trouble {
	rng := rand.New(rand.NewPCG(seed, 21))
	total := 0
	for _, k := range kinds {
		total += k.weight
	}
	var plan []Trouble
	lasts := 700 * time.Millisecond // of a trouble in the mean, with what follows it
	for at := 500 * time.Millisecond; at < long; at += time.Duration((0.4 + 1.2*rng.Float64()) * float64(lasts) / overlap) {
		draw := rng.IntN(total)
		i := 0
		for draw >= kinds[i].weight {
			draw -= kinds[i].weight
			i++
		}
		k := kinds[i]
		plan = append(plan, Trouble{
			At: at.Round(time.Millisecond), Kind: k.kind, Target: rng.IntN(1000),
			For: time.Duration((0.3 + 0.7*rng.Float64()) * float64(k.most)).Round(time.Millisecond),
		})
	}
	return plan
}

// ParsePlan reads a plan, a trouble a line: "at 2.5s for 1s freeze-router 3". Empty lines and those that begin with # say nothing.
func ParsePlan(text string) ([]Trouble, error) {
	var plan []Trouble
	for i, line := range strings.Split(text, "\n") {
		if line = strings.TrimSpace(line); line == "" || line[0] == '#' {
			continue
		}
		t, err := parseTrouble(strings.Fields(line))
		if err != nil {
			return nil, fmt.Errorf("plan: line %d: %w", i+1, err)
		}
		plan = append(plan, t)
	}
	slices.SortStableFunc(plan, func(a, b Trouble) int { return int(a.At - b.At) })
	return plan, nil
}

func parseTrouble(words []string) (t Trouble, err error) {
	if len(words) != 6 || words[0] != "at" || words[2] != "for" {
		return t, fmt.Errorf("not of the form 'at TIME for TIME KIND NUMBER'")
	}
	if t.At, err = time.ParseDuration(words[1]); err != nil || t.At < 0 {
		return t, fmt.Errorf("%q is no time", words[1])
	}
	if t.For, err = time.ParseDuration(words[3]); err != nil || t.For < 0 {
		return t, fmt.Errorf("%q is no time", words[3])
	}
	t.Kind = Kind(words[4])
	known := false
	for _, k := range kinds {
		known = known || k.kind == t.Kind
	}
	if !known {
		return t, fmt.Errorf("there is no trouble %q", words[4])
	}
	if t.Target, err = strconv.Atoi(words[5]); err != nil || t.Target < 0 {
		return t, fmt.Errorf("%q is no number", words[5])
	}
	return t, nil
}
