package soak

import (
	"fmt"
	"time"
)

// FaultKind names a kind of fault. Its value is the form that a plan has.
type FaultKind string

// The kinds of faults. The comment says what a fault meets.
const (
	StopRouter         FaultKind = "stop-router"      // a router: SIGTERM, and a start once it has ended
	KillRouter         FaultKind = "kill-router"      // a router: SIGKILL, and a start
	FreezeRouter       FaultKind = "freeze-router"    // a router: SIGSTOP, and SIGCONT at the end
	ReloadRouters      FaultKind = "reload-routers"   // all routers: discovery moves, SIGHUP
	ExhaustDescriptors FaultKind = "few-descriptors"  // a router: next to no descriptors are left to it
	HangServer         FaultKind = "hang-server"      // a server: it takes requests and never responds
	FailServer         FaultKind = "fail-server"      // a server: errors, after it ran the request or before
	OverloadServer     FaultKind = "refuse-server"    // a server: it is overloaded
	RestartServer      FaultKind = "restart-server"   // a server: it resets its connections and starts again, cold
	DrainServer        FaultKind = "drain-server"     // a server: it is listed as draining, and as ready at the end
	ReplaceServer      FaultKind = "replace-server"   // a server: it is gone, and another has its address
	MoveServer         FaultKind = "move-server"      // a server: it is listed at another address
	ResetConnections   FaultKind = "reset-links"      // all servers: connections are reset at some byte
	BlockConnections   FaultKind = "silent-links"     // a server: nothing is passed on, either way
	FragmentResponses  FaultKind = "piece-links"      // all servers: responses come in pieces, some of them twice
	CorruptResponses   FaultKind = "spoil-links"      // all servers: some responses are corrupt, or break off
	HoldPolls          FaultKind = "silent-discovery" // all routers: polls of discovery are held without a response
	BreakPolls         FaultKind = "broken-discovery" // all routers: polls of discovery break off or fail
	CancelBurst        FaultKind = "cancel-burst"     // all clients: half of all requests are cancelled
	DisconnectBurst    FaultKind = "leave-burst"      // all clients: connections end with requests in flight
	PauseReads         FaultKind = "held-clients"     // all clients: some read nothing, and send and cancel meanwhile
	MalformedClients   FaultKind = "rude-clients"     // all routers: garbage, half requests, silent connections
)

// Fault is one fault of a plan.
type Fault struct {
	At, Duration time.Duration
	Kind         FaultKind
	Target       int // which router or server, taken modulo how many there are
}

// String is the fault as a line of a plan.
func (f Fault) String() string {
	return fmt.Sprintf("at %v for %v %s %d", f.At, f.Duration, f.Kind, f.Target)
}

// faultInjectors inject a fault of each kind, and return when it is over.
var faultInjectors = map[FaultKind]func(*cluster, Fault){
	StopRouter:         (*cluster).stopRouter,
	KillRouter:         (*cluster).killRouter,
	FreezeRouter:       (*cluster).freezeRouter,
	ReloadRouters:      (*cluster).reloadRouters,
	ExhaustDescriptors: (*cluster).exhaustDescriptors,
	HangServer:         serverFault(serverHanging),
	FailServer:         serverFault(serverFailing),
	OverloadServer:     serverFault(serverOverloaded),
	RestartServer:      (*cluster).restartServer,
	DrainServer:        (*cluster).drainServer,
	ReplaceServer:      (*cluster).replaceServer,
	MoveServer:         (*cluster).moveServer,
	BlockConnections:   (*cluster).blockConnections,
	ResetConnections: linkFault(
		func(l *linkConditions) { l.resetProbability = 0.03 }, func(l *linkConditions) { l.resetProbability = 0 }),
	FragmentResponses: linkFault(
		func(l *linkConditions) { l.fragments = true }, func(l *linkConditions) { l.fragments = false }),
	CorruptResponses: linkFault(
		func(l *linkConditions) { l.corruptProbability = 0.1 }, func(l *linkConditions) { l.corruptProbability = 0 }),
	HoldPolls:  discoveryFault(discoveryHoldsPolls),
	BreakPolls: discoveryFault(discoveryBreaksPolls),
	CancelBurst: clientFault(
		func(b *clientBehaviour) { b.cancelProbability = 0.5 }, func(b *clientBehaviour) { b.cancelProbability = 0 }),
	DisconnectBurst: clientFault(
		func(b *clientBehaviour) { b.disconnectProbability = 0.3 },
		func(b *clientBehaviour) { b.disconnectProbability = 0 }),
	PauseReads: clientFault(
		func(b *clientBehaviour) { b.pausesReads = true }, func(b *clientBehaviour) { b.pausesReads = false }),
	MalformedClients: (*cluster).sendMalformed,
}

// inject injects one fault, and returns when it is over.
func (c *cluster) inject(fault Fault) { faultInjectors[fault.Kind](c, fault) }

func serverFault(state serverState) func(*cluster, Fault) {
	return func(c *cluster, fault Fault) {
		server := c.anyServer(fault.Target)
		server.setState(state)
		time.Sleep(fault.Duration)
		server.setState(serverHealthy)
	}
}

func discoveryFault(state discoveryState) func(*cluster, Fault) {
	return func(c *cluster, fault Fault) {
		end := c.discovery.impair(state)
		time.Sleep(fault.Duration)
		end()
	}
}

func linkFault(begin, end func(*linkConditions)) func(*cluster, Fault) {
	return func(c *cluster, fault Fault) {
		c.link.set(begin)
		time.Sleep(fault.Duration)
		c.link.set(end)
	}
}

func clientFault(begin, end func(*clientBehaviour)) func(*cluster, Fault) {
	return func(c *cluster, fault Fault) {
		c.behaviour.set(begin)
		time.Sleep(fault.Duration)
		c.behaviour.set(end)
	}
}

// sendMalformed has clients that break the protocol connect to all routers.
func (c *cluster) sendMalformed(fault Fault) {
	for end := time.Now().Add(fault.Duration); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		c.mu.Lock()
		router := c.routers[c.rng.IntN(len(c.routers))]
		c.mu.Unlock()
		c.malformedClients.Go(router.clients.sendMalformed)
	}
}
