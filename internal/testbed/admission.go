package testbed

import (
	"crypto/tls"
	"time"
)

const (
	// knownAddress is one of the addresses that the operator's file knows, strangerAddress one that it does not.
	knownAddress    = "127.0.1.7"
	strangerAddress = "127.0.2.9"
	// floodWorkers is how many connections a flood opens at once.
	floodWorkers = 64
	// maxRecovery is how long after a flood strangers may have to wait until they are served again.
	maxRecovery = 5 * time.Second
	// notRecovered stands in the place of the time until strangers are served again.
	notRecovered = -1.0
)

// admissionRules is the operator's file of the experiments: known clients are known by their address.
func admissionRules() map[string]any {
	return map[string]any{"admission": map[string]any{
		"known": []string{"127.0.1.0/24"}, "reserve": 100, "per_address": 32, "new_per_s": 200, "burst": 64,
		"views_per_address": 32, "views": 64,
	}}
}

// admissionConfig is a cluster with one router and small objects.
func admissionConfig(operator map[string]any) ClusterConfig {
	config := noStoreConfig(1)
	config.MedianSizeKB, config.Objects, config.OperatorExtra = 30, 30, operator
	return config
}

// floodArm is one arm of an experiment: a known client works while a flood comes.
type floodArm struct {
	name        string
	operator    map[string]any // nil: the router has no admission rules, and only figures are recorded
	keys        *keyring       // nil: plain connections
	knownClient string         // of the keys
	flood       flood
	pace        floodPace
	descriptors int            // that the router may open, 0: the system's limit
	meanwhile   func(*Cluster) // runs beside the flood, if set
}

// floodOutcome is what became of the known client before and during the flood.
type floodOutcome struct{ before, during clientSummary }

// run plays the arm, and records its figures.
func (a *floodArm) run(options Options, result *Result) (outcome floodOutcome, err error) {
	config := admissionConfig(a.operator)
	config.Descriptors = a.descriptors
	if a.keys != nil {
		config.ClientTLS = a.keys.anonymousConfig()
	}
	cluster, err := startCluster(options.Seed, config, 1)
	if err != nil {
		return outcome, err
	}
	router := cluster.Routers[0]
	before := a.newKnownClient(router.Address)
	before.run(10*time.Millisecond, time.Now().Add(options.duration(1500*time.Millisecond)))
	outcome.before = before.summary()
	a.flood.address = router.Address
	cluster.inBackground(func() { // other clients that were there before
		cluster.Play(Load{RequestsPerSecond: 50, Duration: options.duration(3 * time.Second)})
	})
	flooded := make(chan struct{})
	go func() {
		defer close(flooded)
		a.flood.run(a.pace)
	}()
	if a.meanwhile != nil {
		cluster.inBackground(func() { a.meanwhile(cluster) })
	}
	during := a.newKnownClient(router.Address)
	during.run(10*time.Millisecond, time.Now().Add(options.duration(3*time.Second)))
	<-flooded
	time.Sleep(200 * time.Millisecond)
	usage := router.Usage()
	a.flood.end()
	recovery := a.recoveryTime(router.Address)
	outcome.during = during.summary()
	a.logFailures(options, during)
	seen := cluster.End()
	if a.operator == nil {
		result.recordFigures(a.name, seen)
	} else {
		result.assertRules(a.name, seen)
	}
	a.recordFigures(result, &outcome, recovery, usage)
	return outcome, nil
}

func (a *floodArm) newKnownClient(address string) *knownClient {
	return &knownClient{address: address, from: knownAddress, tls: a.clientTLS()}
}

func (a *floodArm) clientTLS() *tls.Config {
	if a.keys == nil {
		return nil
	}
	return a.keys.clientConfig(a.knownClient)
}

// recoveryTime is how long after the flood a stranger has to wait until it is served, in seconds.
func (a *floodArm) recoveryTime(address string) float64 {
	for endedAt := time.Now(); time.Since(endedAt) < maxRecovery; {
		stranger := &knownClient{address: address, from: strangerAddress, tls: a.clientTLS()}
		if stranger.request(1).status == StatusOK {
			return time.Since(endedAt).Seconds()
		}
	}
	return notRecovered
}

// logFailures logs the known client's requests that were not served.
func (a *floodArm) logFailures(options Options, client *knownClient) {
	for i := range client.outcomes {
		outcome := &client.outcomes[i]
		if outcome.status != StatusOK {
			options.Logf("%s: at %v of the flood %q after %v", a.name,
				outcome.startedAt.Sub(client.outcomes[0].startedAt).Round(time.Millisecond), outcome.status,
				outcome.responseTime)
		}
	}
}

func (a *floodArm) recordFigures(result *Result, outcome *floodOutcome, recovery float64, usage Usage) {
	before, during := &outcome.before, &outcome.during
	late := during.served - during.inTime
	result.Figure(a.name+" known client connects", during.connectedShare())
	result.Figure(a.name+" known client in time share calm", before.inTimeShare())
	result.Figure(a.name+" known client in time share", during.inTimeShare())
	result.Figure(a.name+" known client slowest connect ms", float64(during.slowestConnect.Milliseconds()))
	result.Figure(a.name+" known client rejected", during.share(during.rejected))
	result.Figure(a.name+" known client served late", during.share(late))
	result.Figure(a.name+" flood tried", float64(a.flood.tried.Load()))
	result.Figure(a.name+" flood accepted", float64(a.flood.accepted.Load()))
	result.Figure(a.name+" flood rejected", float64(a.flood.rejected.Load()))
	result.Figure(a.name+" s until recovered", recovery)
	result.Figure(a.name+" files at the peak", float64(usage.Files))
}

// assertAdmission asserts what known clients must get during a flood, and strangers after it.
func assertAdmission(result *Result, arm string, outcome floodOutcome) {
	before, during := &outcome.before, &outcome.during
	result.Assert(during.requests > 0 && float64(during.connected) >= 0.99*float64(during.requests),
		arm+": known clients connect within 1 s", "%d of %d", during.connected, during.requests)
	result.Assert(during.inTimeShare() >= before.inTimeShare()-0.02, arm+": their requests keep their latency objectives",
		"%.3f, calm %.3f", during.inTimeShare(), before.inTimeShare())
	result.Assert(during.lost == 0, arm+": no request of theirs is lost", "%d %s", during.lost, during.firstLoss)
	recovery := result.Figures[arm+" s until recovered"]
	result.Assert(recovery >= 0, arm+": strangers are served again after it", "%.2f s", recovery)
}

// runAsserted plays an arm and asserts what must hold.
func (a *floodArm) runAsserted(options Options, result *Result) error {
	outcome, err := a.run(options, result)
	if err != nil {
		return err
	}
	assertAdmission(result, a.name, outcome)
	return nil
}
