// Package routing makes every routing decision of a router: which cache serves a request, which source a cache fills a
// miss from, which copies are cached and how old they may be, and when a request is retried, hedged or rejected.
//
// A front end calls New with the settings and a seed, Start once, and then Handle for each event in order. Start and
// Handle return the actions to carry out, in order. The package does no I/O, reads no clock and starts no goroutine.
// The time is an argument, so the same events yield the same actions. The package is independent of any protocol, so
// that several front ends can share it.
//
// Five rules hold for all attempts:
//  1. No attempt is sent for an answered request, or so late that the answer cannot arrive in time.
//  2. A request that may have run is repeated only as its class allows.
//  3. No attempt names an endpoint whose drain grace is over.
//  4. A cold endpoint gets no more load than it can bear.
//  5. After a purge, no copy older than the purge is served.
//
// Start reading in router.go, which follows a request from its arrival to its answer. docs/design.md says which file
// enforces which rule.
package routing
