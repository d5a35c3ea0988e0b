package routing

// The endpoint list is requested at the start and again after a failure.
func Example_endpointListRetry() {
	settings := testSettings()
	settings.WatchEndpoints = true
	harness := newHarness(settings, cacheA)
	harness.handle(&Event{Kind: EventEndpoints, EndpointListKind: EndpointListFailed})
	for i := range harness.actions {
		if action := &harness.actions[i]; action.Kind == ActionTimer && action.Timer == timerEndpointList {
			harness.now += action.Wait
			harness.handle(&Event{Kind: EventTimer, Timer: timerEndpointList})
		}
	}
	// Output:
	//   0.45s the endpoint list is requested
}
