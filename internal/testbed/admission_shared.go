package testbed

import (
	"fmt"
	"sync"
	"time"
)

var _ = Register(Experiment{
	Name:        "admission-shared",
	Description: "one misbehaving and fifty well-behaved clients behind one address are told apart by certificate",
	Run:         runAdmissionShared,
})

const (
	sharedAddress = "127.0.3.3"
	badClient     = "bad"
	goodClients   = 50
)

func goodClient(i int) string { return fmt.Sprintf("good-%d", i) }

func runAdmissionShared(options Options, result *Result) error {
	names := []string{badClient}
	for i := range goodClients {
		names = append(names, goodClient(i))
	}
	keys, err := newKeyring(names...)
	if err != nil {
		return err
	}
	defer keys.close()
	cluster, err := startCluster(options.Seed, sharedAddressConfig(keys), 1)
	if err != nil {
		return err
	}
	router := cluster.Routers[0]
	cluster.inBackground(func() {
		cluster.ApplyLoad(Load{RequestsPerSecond: 30, Duration: options.duration(6 * time.Second)})
	})
	before := runGoodClients(router.Address, keys, options.duration(2500*time.Millisecond))
	bad := &flood{address: router.Address, localAddresses: []string{sharedAddress}, tls: keys.clientConfig(badClient)}
	floodDone := make(chan struct{})
	go func() {
		defer close(floodDone)
		bad.run(floodPace{connections: options.count(600), connectionsPerSecond: 200, workers: 16})
	}()
	during := runGoodClients(router.Address, keys, options.duration(3*time.Second))
	<-floodDone
	bad.end()
	observed := cluster.End()
	result.assertRules("shared", observed)
	result.Figure("shared flood accepted", float64(bad.accepted.Load()))
	result.Figure("shared flood tried", float64(bad.tried.Load()))
	result.Figure("shared s until recovered", 0)
	assertAdmission(result, "shared", floodOutcome{before: before, during: during})
	return nil
}

// sharedAddressConfig configures a cluster with limits for an address that many clients share.
func sharedAddressConfig(keys *keyring) ClusterConfig {
	operator := admissionRules()
	operator["tls"] = keys.operatorSection()
	limits := operator["admission"].(map[string]any)
	limits["per_address"], limits["new_per_s"], limits["burst"], limits["handshake_cores"] = 64, 500, 250, 0.6
	config := admissionConfig(operator)
	config.ClientTLS = keys.anonymousConfig()
	return config
}

// runGoodClients runs all good clients for a duration and returns the sum of their summaries.
func runGoodClients(address string, keys *keyring, duration time.Duration) (total clientSummary) {
	var clients sync.WaitGroup
	var mu sync.Mutex
	end := time.Now().Add(duration)
	for i := range goodClients {
		client := &knownClient{address: address, localAddress: sharedAddress, tls: keys.clientConfig(goodClient(i))}
		clients.Go(func() {
			time.Sleep(time.Duration(i) * 10 * time.Millisecond)
			client.run(500*time.Millisecond, end)
			mu.Lock()
			defer mu.Unlock()
			total.add(client.summary())
		})
	}
	clients.Wait()
	return total
}
