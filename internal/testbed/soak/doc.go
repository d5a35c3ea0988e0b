// Package soak runs many real router processes among fake servers on loopback while two or three faults overlap at any
// time. It checks the routers from outside: by what clients sent and received, and by what reached the servers.
package soak
