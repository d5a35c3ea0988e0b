package routing

// The list by asking: asked for at the start, and again after a failure.
func Example_endpointListRetry() {
	set := testSettings()
	set.PollEndpoints = true
	b := newHarness(set, cacheA)
	b.handle(&Event{Kind: EventEndpoints, EndpointListKind: EndpointListFailed})
	for i := range b.actions {
		if a := &b.actions[i]; a.Kind == ActionTimer && a.Timer == timerEndpointList {
			b.now += a.Wait
			b.handle(&Event{Kind: EventTimer, Timer: timerEndpointList})
		}
	}
	// Output:
	//   0.45s the endpoint list is requested
}
