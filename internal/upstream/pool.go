// Package upstream carries attempts to cache servers, parents and the origin.
//
// A Pool holds the connections to all of them: which endpoint has which address, the goroutines that dial, read and
// write, and when a connection that is idle, suspect or of no use any more is closed. What goes over one connection,
// and what became of it, is the job of a session, which touches no socket. The package never chooses an endpoint: an
// attempt goes where it was sent.
package upstream

import (
	"net"
	"sync"
	"time"

	"fennelarch/internal/config"
	"fennelarch/internal/engine"
	"fennelarch/internal/invariant"
	"fennelarch/internal/limits"
	"fennelarch/internal/system"
	"fennelarch/policy/routing"

	"go.uber.org/zap"
)

// sendTries is on how many connections an attempt is tried to be queued: the first may be closed at that moment.
const sendTries = 2

// Pool is the connection pool of all endpoints. Where both are held, its lock is taken before that of a connection.
type Pool struct {
	limits limits.Limits
	names  protocolNames
	verb   string // of a health check
	post   func(at time.Time, message engine.Message)
	log    *zap.Logger
	dial   func(network, address string, timeout time.Duration) (net.Conn, error)

	monitor              *invariant.Monitor
	onDescriptorShortage func()

	mu              sync.Mutex
	endpoints       map[routing.EndpointID]*endpoint
	connectionCount int
}

// Options are what a Pool needs.
type Options struct {
	Limits limits.Limits
	Names  config.Names

	// ReportsWithHealthChecks has health checks ask for load reports.
	ReportsWithHealthChecks bool

	// Post takes the results of attempts and health checks, each with the time at which it came about.
	Post func(at time.Time, message engine.Message)

	// OnDescriptorShortage, if set, is called when there is no descriptor for a connection: others may make room.
	OnDescriptorShortage func()

	Monitor *invariant.Monitor // may be nil
	Log     *zap.Logger
}

// New returns a pool that knows no endpoint.
func New(options Options) *Pool {
	pool := &Pool{
		limits:               options.Limits,
		names:                protocolNames{classes: options.Names.Classes, reportColumns: options.Names.Columns},
		verb:                 verbCheckHealth,
		post:                 options.Post,
		log:                  options.Log,
		dial:                 system.DialTimeout,
		onDescriptorShortage: options.OnDescriptorShortage,
		monitor:              options.Monitor,
		endpoints:            map[routing.EndpointID]*endpoint{},
	}
	if options.ReportsWithHealthChecks {
		pool.verb = verbCheckWithReport
	}
	return pool
}

// ConnectionCount is how many connections there are.
func (p *Pool) ConnectionCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.connectionCount
}

// Send puts an attempt on a connection to its endpoint. One that is closed at this moment is no reason to fail:
// there may be another. An attempt for which this router has no connection left was never sent, and tells nothing of
// its endpoint.
func (p *Pool) Send(attempt *engine.Attempt) {
	now, outcome := time.Now(), routing.ConnectFailed
	for range sendTries {
		p.mu.Lock()
		e, isKnown := p.prepare(attempt, now)
		var c *connection
		if isKnown {
			c = p.selectConnection(attempt.Endpoint, attempt)
		}
		if c == nil && p.endpoints[attempt.Endpoint] != nil {
			outcome = routing.NotSent
		}
		p.mu.Unlock()
		if c == nil {
			break
		}
		if c.enqueue(e) {
			return
		}
	}
	p.postFailure(attempt, outcome, now)
}

// postFailure posts the result of an attempt that was not sent. The caller holds locks or must not wait.
func (p *Pool) postFailure(attempt *engine.Attempt, outcome routing.Outcome, now time.Time) {
	go p.post(now, engine.AttemptResult{Attempt: attempt, Outcome: outcome})
}

// prepare returns the exchange for an attempt, and whether its endpoint and source are known. To an endpoint, or from a
// source, that is draining, it must be on its way soon.
func (p *Pool) prepare(attempt *engine.Attempt, now time.Time) (e exchange, isKnown bool) {
	e = exchange{
		attempt:  attempt,
		server:   invariant.Server{Endpoint: attempt.Endpoint},
		notAfter: now.Add(p.limits.AttemptStartWithin),
	}
	if !attempt.NotAfter.IsZero() {
		e.notAfter = earlier(e.notAfter, attempt.NotAfter)
	}
	for _, id := range [...]routing.EndpointID{attempt.Endpoint, attempt.Source} {
		if id == 0 {
			continue
		}
		known := p.endpoints[id]
		if known == nil {
			return e, false
		}
		if known.state != routing.Ready {
			e.notAfter = earlier(e.notAfter, now.Add(p.limits.DrainingStartWithin))
		}
		if id == attempt.Source {
			e.sourceUID = known.uid
		} else {
			e.server = known.server
		}
	}
	return e, true
}

func earlier(one, other time.Time) time.Time {
	if one.Before(other) {
		return one
	}
	return other
}

// Abort gives an attempt up and says whether it may have run.
func (p *Pool) Abort(attempt *engine.Attempt) bool {
	p.mu.Lock()
	defer p.mu.Unlock() // so that it stays on its connection
	c, wasQueued := attempt.TransportState.(*connection)
	if !wasQueued {
		return false
	}
	return c.abort(attempt)
}

// CheckHealth asks an endpoint for its health.
func (p *Pool) CheckHealth(id routing.EndpointID) {
	p.mu.Lock()
	c := p.selectConnection(id, nil)
	p.mu.Unlock()
	if c == nil {
		go p.post(time.Now(), engine.HealthCheckResult{Endpoint: id, Outcome: routing.ConnectFailed})
		return
	}
	c.checkHealth()
}
