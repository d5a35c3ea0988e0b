package engine

import (
	"maps"
	"time"

	"fennelarch/internal/flightrecorder"
	"fennelarch/policy/membership"
	"fennelarch/policy/routing"
)

func (e *Engine) handleEndpointList(list *EndpointList) {
	e.markReplaced(list)
	e.transport.UpdateEndpoints(*list)
	e.endpoints = e.endpoints[:0]
	for i := range list.Endpoints {
		endpoint := list.Endpoints[i].Endpoint
		endpoint.StartedAt = e.bootTimes.startedAt(&list.Endpoints[i], &e.ages, e.now)
		e.endpoints = append(e.endpoints, endpoint)
	}
	e.monitor.Record(flightrecorder.Entry{
		Event: flightrecorder.EndpointListReceived, Value: int64(len(list.Endpoints)),
	})
	event := routing.Event{
		Kind: routing.EventEndpoints, EndpointListKind: routing.EndpointListDelta, Endpoints: e.endpoints, Age: list.MaxAge,
	}
	if list.Complete {
		event.EndpointListKind = routing.EndpointListFull
		e.bootTimes.keepListed(list.Endpoints)
	}
	e.dispatch(&event)
}

// markReplaced marks the endpoints as gone whose address belongs to another one, and adds those to the list that it
// does not contain.
func (e *Engine) markReplaced(list *EndpointList) {
	var replaced []routing.EndpointID
	for i := range list.Endpoints {
		listed := &list.Endpoints[i]
		if listed.Address == "" {
			continue
		}
		id := e.addresses.Update(membership.Listed{
			ID: listed.ID, Address: listed.Address, State: listed.State, BootTime: listed.BootTime,
		}, e.now)
		if id != 0 {
			replaced = append(replaced, id)
		}
	}
	listed := map[routing.EndpointID]bool{}
	for i := range list.Endpoints {
		endpoint := &list.Endpoints[i]
		listed[endpoint.ID] = true
		if e.addresses.IsReplaced(endpoint.ID) {
			endpoint.State, endpoint.IsReplaced = routing.Gone, true
		}
	}
	if list.Complete {
		e.addresses.RemoveUnlisted(func(id routing.EndpointID) bool { return listed[id] }, e.now)
	}
	for _, id := range replaced {
		if !listed[id] {
			list.Endpoints = append(list.Endpoints, Endpoint{
				Endpoint: routing.Endpoint{ID: id, State: routing.Gone, IsReplaced: true},
			})
		}
	}
}

// bootTimes holds when each endpoint started, as estimated when its boot time was first received.
type bootTimes map[routing.EndpointID]bootTime

type bootTime struct {
	timestamp time.Time     // as published
	at        time.Duration // on the engine's clock
}

// keepListed forgets the endpoints that a complete list does not contain.
func (b bootTimes) keepListed(list []Endpoint) {
	listed := make(map[routing.EndpointID]bool, len(list))
	for i := range list {
		listed[list[i].ID] = true
	}
	maps.DeleteFunc(b, func(id routing.EndpointID, _ bootTime) bool { return !listed[id] })
}

// startedAt returns when an endpoint started, never later than now, or routing.LongAgo if its boot time is unknown. The
// same timestamp received again yields the same time.
func (b bootTimes) startedAt(endpoint *Endpoint, ages *ageEstimator, now time.Duration) time.Duration {
	if endpoint.BootTime.IsZero() || endpoint.State == routing.Gone {
		delete(b, endpoint.ID)
		return routing.LongAgo
	}
	if known, found := b[endpoint.ID]; found && known.timestamp.Equal(endpoint.BootTime) {
		return known.at
	}
	at := now - ages.estimate(endpoint.BootTime, now).atLeast
	b[endpoint.ID] = bootTime{endpoint.BootTime, at}
	return at
}
