package main

import (
	"fmt"
	"testing"
	"time"

	"fennelarch/internal/fake/site"
)

// States of an endpoint in the list.
const (
	stateReady    = "ready"
	stateDraining = "draining"
	stateGone     = "gone"
)

// fakeDiscovery is a discovery server.
type fakeDiscovery struct{ *site.DiscoveryServer }

func newFakeDiscovery(t *testing.T) *fakeDiscovery {
	t.Helper()
	discovery := &fakeDiscovery{site.NewDiscoveryServer()}
	t.Cleanup(discovery.Close)
	return discovery
}

// publishAll publishes an event with the complete list of endpoints.
func (d *fakeDiscovery) publishAll(state string, servers ...*fakeServer) {
	d.PublishList(lines(state, servers)...)
}

// publish publishes an event with endpoints that have changed.
func (d *fakeDiscovery) publish(state string, servers ...*fakeServer) {
	d.PublishChanges(lines(state, servers)...)
}

// publishPurge publishes the purge of an object.
func (d *fakeDiscovery) publishPurge(object int) {
	d.Publish(fmt.Sprintf(`"recall":{"item":"%016x","issued":%d}`, object, time.Now().UnixMilli()))
}

func lines(state string, servers []*fakeServer) []site.Endpoint {
	var list []site.Endpoint
	for _, server := range servers {
		list = append(list, server.line(state))
	}
	return list
}

func (s *fakeServer) line(state string) site.Endpoint {
	return site.Endpoint{
		UID: s.uid, Address: s.address, Zone: "west", Kind: site.Kind(s.kind), State: state, Weight: 4,
	}
}
