package testbed

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

var _ = Register(Experiment{
	Name:        "admission-restart",
	Description: "all known clients reconnect at once when the router restarts during a flood",
	Run:         runAdmissionRestart,
})

const (
	returningClients = 60
	// A client that is not served tries again after retryInterval, up to returnAttempts times in all.
	returnAttempts = 5
	retryInterval  = 150 * time.Millisecond
	// floodRate is the number of connections per second that the flood opens.
	floodRate = 2500
)

// returnCounts counts three sets of known clients: those that connected on every attempt, those that lost no request,
// and those that were served.
type returnCounts struct{ connected, answered, served int }

func runAdmissionRestart(options Options, result *Result) error {
	calm, err := runRestart(options, result, "calm", 0)
	if err != nil {
		return err
	}
	counts, err := runRestart(options, result, "flood", options.count(8000))
	if err != nil {
		return err
	}
	result.Assert(counts.connected == returningClients && counts.answered == returningClients,
		"all known clients are back within a second, and each request has its answer",
		"%d connected, %d answered of 60", counts.connected, counts.answered)
	result.Assert(counts.served >= calm.served-2, "as many are served as without a flood", "%d of 60, calm %d",
		counts.served, calm.served)
	return nil
}

// runRestart restarts the router during a flood and makes all known clients reconnect.
func runRestart(options Options, result *Result, name string, connections int) (returnCounts, error) {
	cluster, err := startCluster(options.Seed, admissionConfig(admissionRules()), 1)
	if err != nil {
		return returnCounts{}, err
	}
	address := cluster.Routers[0].Address
	unknownClients := &flood{address: address, localAddresses: loopbackAddresses(500)}
	floodDone := make(chan struct{})
	go func() {
		defer close(floodDone)
		unknownClients.run(floodPace{connections: connections, connectionsPerSecond: floodRate, workers: floodWorkers})
	}()
	cluster.inBackground(func() {
		cluster.ApplyLoad(Load{RequestsPerSecond: 20, Duration: options.duration(3 * time.Second)})
	})
	time.Sleep(500 * time.Millisecond)
	cluster.Restart(0)
	restartedAt := time.Now()
	counts := runReturningClients(address)
	result.Figure(name+" until the last known client is served s", time.Since(restartedAt).Seconds())
	<-floodDone
	// Reload and stop the router during a second flood.
	cluster.Routers[0].Signal(syscall.SIGHUP)
	time.Sleep(100 * time.Millisecond)
	secondFloodDone := make(chan struct{})
	go func() {
		defer close(secondFloodDone)
		unknownClients.run(floodPace{connections: connections / 8, connectionsPerSecond: floodRate, workers: 16})
	}()
	observed := cluster.End()
	<-secondFloodDone
	unknownClients.end()
	result.assertRules(name, observed)
	return counts, nil
}

// runReturningClients connects all known clients at once. A client that is not served tries again.
func runReturningClients(address string) (counts returnCounts) {
	var clients []*knownClient
	var returning sync.WaitGroup
	for i := range returningClients {
		client := &knownClient{address: address, localAddress: fmt.Sprintf("127.0.1.%d", i+1)}
		clients = append(clients, client)
		returning.Go(func() {
			for range returnAttempts {
				if client.send(uint64(i)).status == StatusOK {
					return
				}
				time.Sleep(retryInterval)
			}
		})
	}
	returning.Wait()
	for _, client := range clients {
		summary := client.summary()
		if summary.connected == summary.requests {
			counts.connected++
		}
		if summary.lost == 0 {
			counts.answered++
		}
		counts.served += summary.served
	}
	return counts
}
