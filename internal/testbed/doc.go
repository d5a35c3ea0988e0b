// Package testbed starts real routers among fake servers on loopback, plays seeded scripts with faults against them,
// and checks the rules by what servers and clients saw.
package testbed
