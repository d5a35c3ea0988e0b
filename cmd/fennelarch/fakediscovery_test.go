package main

import (
	"fmt"
	"testing"
	"time"

	"fennelarch/internal/fake/site"
)

// States of an endpoint in the endpoint list.
const (
	stateReady    = "ready"
	stateDraining = "draining"
	stateGone     = "gone"
)

// fakeDiscovery is a fake discovery server.
type fakeDiscovery struct{ *site.DiscoveryServer }

func newFakeDiscovery(t *testing.T) *fakeDiscovery {
	t.Helper()
	discovery := &fakeDiscovery{site.NewDiscoveryServer()}
	t.Cleanup(discovery.Close)
	return discovery
}

// publishAll publishes an event with the complete endpoint list.
func (d *fakeDiscovery) publishAll(state string, servers ...*fakeServer) {
	d.PublishList(endpointLines(state, servers)...)
}

// publish publishes an event with changed endpoints.
func (d *fakeDiscovery) publish(state string, servers ...*fakeServer) {
	d.PublishChanges(endpointLines(state, servers)...)
}

// publishPurge publishes a purge of an object.
func (d *fakeDiscovery) publishPurge(object int) {
	d.Publish(fmt.Sprintf(`"recall":{"item":"%016x","issued":%d}`, object, time.Now().UnixMilli()))
}

// endpointLines returns the lines of servers in the endpoint list.
func endpointLines(state string, servers []*fakeServer) []site.Endpoint {
	var list []site.Endpoint
	for _, server := range servers {
		list = append(list, server.endpointLine(state))
	}
	return list
}

// endpointLine returns the line of the server in the endpoint list.
func (s *fakeServer) endpointLine(state string) site.Endpoint {
	return site.Endpoint{
		UID: s.uid, Address: s.address, Zone: "west", Kind: site.Kind(s.kind), State: state, Weight: 4,
	}
}
