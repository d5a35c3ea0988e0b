// Package upstream carries attempts to cache servers, parents and the origin.
//
// A Pool holds the connections to all endpoints. It knows their addresses, runs the goroutines that dial, read and
// write, and closes connections that are idle, suspect or no longer needed. The protocol state of a connection is kept
// by a session, which does no I/O. The package never chooses an endpoint: an attempt goes to the endpoint that it
// names.
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

// maxSendTries is how often Send tries to queue an attempt: the connection selected first may just be closing.
const maxSendTries = 2

// Pool is the connection pool of all endpoints. Code that holds both locks acquires that of the pool before that of a
// connection.
type Pool struct {
	limits          limits.Limits
	names           protocolNames
	healthCheckVerb string
	post            func(at time.Time, message engine.Message)
	log             *zap.Logger
	dial            func(network, address string, timeout time.Duration) (net.Conn, error)

	monitor              *invariant.Monitor
	onDescriptorShortage func()
	bodyMemory           memoryBudget

	mu              sync.Mutex
	endpoints       map[routing.EndpointID]*endpoint
	gone            []goneEndpoint // in the order in which they went; some may have been listed again since
	connectionCount int
}

// Options configures a Pool.
type Options struct {
	Limits limits.Limits
	Names  config.Names

	// ReportsWithHealthChecks makes health checks ask for load reports.
	ReportsWithHealthChecks bool

	// Post receives the results of attempts and health checks, each with the time of its occurrence.
	Post func(at time.Time, message engine.Message)

	// OnDescriptorShortage, if set, is called when no file descriptor is available for a connection, so that other
	// parts of the process can free some.
	OnDescriptorShortage func()

	Monitor *invariant.Monitor // optional
	Log     *zap.Logger
}

// New returns a pool without endpoints.
func New(options Options) *Pool {
	pool := &Pool{
		limits:               options.Limits,
		names:                protocolNames{classes: options.Names.Classes, reportColumns: options.Names.Columns},
		healthCheckVerb:      verbCheckHealth,
		post:                 options.Post,
		log:                  options.Log,
		dial:                 system.DialTimeout,
		onDescriptorShortage: options.OnDescriptorShortage,
		monitor:              options.Monitor,
		bodyMemory:           memoryBudget{limit: options.Limits.UpstreamPayloadBytes},
		endpoints:            map[routing.EndpointID]*endpoint{},
	}
	if options.ReportsWithHealthChecks {
		pool.healthCheckVerb = verbCheckWithReport
	}
	return pool
}

// ConnectionCount returns the number of connections, including those being dialled.
func (p *Pool) ConnectionCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.connectionCount
}

// PayloadBytes returns the memory of the response bodies that are being received.
func (p *Pool) PayloadBytes() int64 { return p.bodyMemory.used.Load() }

// Send queues an attempt on a connection to its endpoint. If that connection is just closing, Send tries another. If
// the connection limits are exhausted or the source is unknown, the attempt counts as not sent, which says nothing
// about its endpoint.
func (p *Pool) Send(attempt *engine.Attempt) {
	now, outcome := time.Now(), routing.ConnectFailed
	for range maxSendTries {
		p.mu.Lock()
		e, isKnown := p.prepare(attempt, now)
		var c *connection
		if isKnown {
			c = p.selectConnection(attempt.Endpoint, attempt)
		}
		if known := p.endpoints[attempt.Endpoint]; c == nil && known != nil && !known.isReplaced {
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

// postFailure posts the result of an attempt that was not sent. It does so in a goroutine, since the caller holds locks
// or must not block.
func (p *Pool) postFailure(attempt *engine.Attempt, outcome routing.Outcome, now time.Time) {
	go p.post(now, engine.AttemptResult{Attempt: attempt, Outcome: outcome})
}

// prepare returns the exchange for an attempt, and whether its endpoint and source are known. If one of them is
// draining or gone, the attempt must be sent within limits.DrainingStartWithin.
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
		if known == nil || known.isReplaced {
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

// Abort aborts an attempt and reports whether it may have run.
func (p *Pool) Abort(attempt *engine.Attempt) bool {
	p.mu.Lock()
	defer p.mu.Unlock() // keeps the attempt from moving to another connection
	c, wasQueued := attempt.TransportState.(*connection)
	if !wasQueued {
		return false
	}
	return c.abort(attempt)
}

// CheckHealth sends a health check to an endpoint.
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
