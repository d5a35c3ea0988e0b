// Package routing holds every routing decision of a router: which cache serves a request, where a cache fills a miss
// from, which copies are cached and how old they may be, and when a request is retried, hedged or rejected.
//
// A front end calls New with the settings and a seed, Start once, and then Handle for each event in order. Each call
// returns the actions to carry out, in order. The package does no I/O, reads no clock and starts no goroutine: the
// time is an argument, so the same events give the same actions. No protocol is named here, so that several front ends
// can share the decisions.
//
// Start reading in router.go, which follows a request from its arrival to its answer. docs/design.md says which file
// keeps which rule.
package routing
