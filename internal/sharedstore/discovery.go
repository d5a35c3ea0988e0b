package sharedstore

import (
	"slices"
	"time"

	"fennelarch/internal/engine"
	"fennelarch/policy/notification"
	"fennelarch/policy/routing"

	policy "fennelarch/policy/sharedstore"
)

// ObserveDiscovery takes every message of the discovery service before the engine does, and returns the message for the
// engine. In an endpoint list it marks the stores as endpoints at which no request runs; to a complete one it adds the
// stores that the list does not contain.
func (t *Transport) ObserveDiscovery(message engine.Message) engine.Message {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch m := message.(type) {
	case engine.Purge:
		t.recordPurge(&m)
	case engine.DiscoveryReport:
		t.recordReport(m)
	case engine.EndpointList:
		m.Endpoints = t.withMarkedStores(m.Endpoints)
		if m.Complete {
			m.Endpoints = t.withUnlistedStores(m.Endpoints)
		}
		return m
	}
	return message
}

// withMarkedStores returns the endpoints with the stores among them marked.
func (t *Transport) withMarkedStores(endpoints []engine.Endpoint) []engine.Endpoint {
	endpoints = slices.Clone(endpoints)
	for i := range endpoints {
		endpoints[i].RunsAtSource = t.clients[endpoints[i].ID] != nil
	}
	return endpoints
}

func (t *Transport) recordPurge(purge *engine.Purge) {
	isNew := t.coordinator.RecordInvalidation(t.now(), policy.Invalidation{
		Object: purge.Object, Group: purge.Group, IssuedAt: policy.Timestamp(purge.Issued.UnixMilli()),
	})
	if !isNew {
		return
	}
	for _, client := range t.clients {
		client.syncLog()
	}
}

func (t *Transport) withUnlistedStores(endpoints []engine.Endpoint) []engine.Endpoint {
	for _, client := range t.clients {
		if !client.config.Listed {
			endpoints = append(endpoints, t.storeEndpoint(client))
		}
	}
	return endpoints
}

// storeEndpoint returns the endpoint of a store that this router adds to the endpoint list. Its kind is neither that of
// parents nor that of origins.
func (t *Transport) storeEndpoint(client *storeClient) engine.Endpoint {
	if endpoint, known := t.storeEndpoints[client.id]; known {
		return endpoint
	}
	endpoint := engine.Endpoint{UID: client.config.UID, Endpoint: routing.Endpoint{
		ID: client.id, State: routing.Ready, Zone: t.routing.Zone, Weight: client.config.Weight, RunsAtSource: true,
	}}
	for endpoint.Kind == t.routing.ParentKind || endpoint.Kind == t.routing.OriginKind {
		endpoint.Kind++
	}
	return endpoint
}

// UpdateEndpoints applies an endpoint list to the stores, and passes the other endpoints on to the inner transport.
func (t *Transport) UpdateEndpoints(list engine.EndpointList) {
	t.mu.Lock()
	defer t.unlockAndWake()
	others := make([]engine.Endpoint, 0, len(list.Endpoints))
	isListed := map[routing.EndpointID]bool{}
	for i := range list.Endpoints {
		endpoint := &list.Endpoints[i]
		isListed[endpoint.ID] = true
		if !t.updateEndpoint(endpoint) {
			others = append(others, *endpoint)
		}
	}
	if list.Complete {
		for id := range t.endpointKinds {
			if !isListed[id] {
				delete(t.endpointKinds, id)
				t.handle(&policy.Event{Kind: policy.EventEndpointState, Endpoint: id, State: routing.Gone})
			}
		}
	}
	list.Endpoints = others
	t.inner.UpdateEndpoints(list)
}

// updateEndpoint applies an entry of the endpoint list, and reports whether the endpoint is a store.
func (t *Transport) updateEndpoint(endpoint *engine.Endpoint) bool {
	t.endpointKinds[endpoint.ID] = endpoint.Kind
	if endpoint.Kind == t.routing.OriginKind && endpoint.State == routing.Ready {
		t.origin = endpoint.ID
	}
	t.handle(&policy.Event{Kind: policy.EventEndpointState, Endpoint: endpoint.ID, State: endpoint.State})
	if client := t.clients[endpoint.ID]; client != nil {
		t.storeEndpoints[endpoint.ID] = *endpoint
		client.setAddress(endpoint.Address)
		return true
	}
	if endpoint.State == routing.Gone {
		delete(t.endpointKinds, endpoint.ID)
	}
	return false
}

// recordReport takes a report on how current the messages of the discovery service are.
func (t *Transport) recordReport(report engine.DiscoveryReport) {
	t.coordinator.RecordDiscoveryReport(t.now(), report.Since(t.startedAt))
	switch report.Kind {
	case notification.Current:
		t.coordinator.RecordDiscoveryCurrent(policy.Timestamp(report.At.UnixMilli()))
	case notification.EventsLost:
		t.coordinator.RecordDiscoveryGap(t.now())
	default:
	}
}

// RecordClockStep records that the wall clock was stepped by a duration.
func (t *Transport) RecordClockStep(by time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.coordinator.RecordClockStep(t.now(), by)
}
