package soak

import (
	"fmt"
	"time"
)

// FaultKind is a kind of fault. Its value is the word that stands for the kind in a plan.
type FaultKind string

// The kinds of faults. Each comment names the target of the fault and its effect.
const (
	StopRouter         FaultKind = "stop-router"      // a router: SIGTERM, and a start once the process has ended
	KillRouter         FaultKind = "kill-router"      // a router: SIGKILL, and an immediate start
	FreezeRouter       FaultKind = "freeze-router"    // a router: SIGSTOP, and SIGCONT when the fault ends
	ReloadRouters      FaultKind = "reload-routers"   // all routers: discovery changes its address; SIGHUP
	ExhaustDescriptors FaultKind = "few-descriptors"  // a router: almost no file descriptors are left
	HangServer         FaultKind = "hang-server"      // a server: accepts requests and never responds
	FailServer         FaultKind = "fail-server"      // a server: returns errors, before or after executing the request
	OverloadServer     FaultKind = "refuse-server"    // a server: rejects requests as overloaded
	RestartServer      FaultKind = "restart-server"   // a server: resets its connections and restarts with an empty cache
	DrainServer        FaultKind = "drain-server"     // a server: listed as draining, and as ready when the fault ends
	ReplaceServer      FaultKind = "replace-server"   // a server: listed as gone; a new server takes its address
	MoveServer         FaultKind = "move-server"      // a server: listed at another address
	ResetConnections   FaultKind = "reset-links"      // all servers: connections are reset at a random byte
	BlockConnections   FaultKind = "silent-links"     // a server: no data is forwarded in either direction
	FragmentResponses  FaultKind = "piece-links"      // all servers: responses arrive in fragments, some of them twice
	CorruptResponses   FaultKind = "spoil-links"      // all servers: some responses are corrupt or truncated
	HoldPolls          FaultKind = "silent-discovery" // all routers: polls of discovery get no response
	BreakPolls         FaultKind = "broken-discovery" // all routers: polls of discovery fail or are truncated
	CancelBurst        FaultKind = "cancel-burst"     // all clients: half of all requests are cancelled
	DisconnectBurst    FaultKind = "leave-burst"      // all clients: connections are closed with requests in flight
	PauseReads         FaultKind = "held-clients"     // all clients: some stop reading, but still send and cancel
	MalformedClients   FaultKind = "rude-clients"     // all routers: garbage, truncated requests, silent connections
)

// Fault is one fault of a plan.
type Fault struct {
	At, Duration time.Duration
	Kind         FaultKind
	Target       int // index of the router or server, modulo their number
}

// String returns the fault as a line of a plan.
func (f Fault) String() string {
	return fmt.Sprintf("at %v for %v %s %d", f.At, f.Duration, f.Kind, f.Target)
}

// faultInjectors holds the function that injects each kind of fault and returns when the fault has ended.
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

// inject injects one fault, and returns when the fault has ended.
func (c *cluster) inject(fault Fault) { faultInjectors[fault.Kind](c, fault) }

func serverFault(state serverState) func(*cluster, Fault) {
	return func(c *cluster, fault Fault) {
		server := c.serverFor(fault.Target)
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

// sendMalformed connects clients that violate the protocol to random routers.
func (c *cluster) sendMalformed(fault Fault) {
	for end := time.Now().Add(fault.Duration); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		c.mu.Lock()
		router := c.routers[c.rng.IntN(len(c.routers))]
		c.mu.Unlock()
		c.malformedClients.Go(router.clients.sendMalformed)
	}
}
