// Package testbed runs experiments on real routers. It starts them with fake servers on the loopback address, applies
// seeded loads and faults, and checks the routers' behaviour by what the servers and clients observe.
package testbed
