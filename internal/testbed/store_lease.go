package testbed

import (
	"time"

	"fennelarch/internal/fake/site"
)

var _ = Register(Experiment{
	Name: "store-lease",
	Description: "routers that miss an object at the same time fill it once or twice; requests stay in time even if " +
		"the lease holder dies",
	Run: runStoreLease,
})

const (
	// firstLeaseObject is the first of the objects that all routers request at once.
	firstLeaseObject = 500_000_000
	// roundsWithKill is the number of rounds in which the lease holder is killed.
	roundsWithKill = 3
)

// leaseArm is an arm of the experiment, in which all routers miss the same objects at once.
type leaseArm struct {
	name         string
	usesLease    bool
	killsHolders bool
	routers      int
	rounds       int
}

func runStoreLease(options Options, result *Result) error {
	routers, rounds := options.routers(16), options.count(10)
	for _, variant := range []leaseArm{
		{name: "lease", usesLease: true, routers: routers, rounds: rounds},
		{name: "no lease", routers: routers, rounds: rounds},
		{name: "holders killed", usesLease: true, killsHolders: true, routers: routers, rounds: rounds},
	} {
		if err := variant.run(options, result); err != nil {
			return err
		}
	}
	fillsWithLease, fillsWithoutLease := result.Figures["lease fills an object"],
		result.Figures["no lease fills an object"]
	result.Assert(fillsWithLease <= 2, "with the lease an object is filled once or twice", "%.1f fills", fillsWithLease)
	result.Assert(fillsWithoutLease >= 2*fillsWithLease, "without it, by many", "%.1f fills", fillsWithoutLease)
	return nil
}

func (a leaseArm) run(options Options, result *Result) error {
	config := warmStoreConfig(a.routers)
	config.SharedStore["lease"] = a.usesLease
	config.OriginTime = site.ServiceTime{Base: 80 * time.Millisecond, Jitter: 10 * time.Millisecond}
	cluster, err := startCluster(options.Seed, config, a.routers)
	if err != nil {
		return err
	}
	// Let the routers learn how long fills take, each from different objects.
	cluster.ApplyLoad(Load{RequestsPerSecond: 10, Duration: 2 * time.Second, UniqueObjects: true})
	time.Sleep(300 * time.Millisecond)
	before := len(cluster.Origin.Received())
	for round := range a.rounds {
		a.runRound(cluster, round)
	}
	fills := len(cluster.Origin.Received()) - before
	observed := cluster.End()
	result.assertRules(a.name, observed)
	result.Figure(a.name+" fills an object", float64(fills)/float64(a.rounds))
	counts := cluster.countLeaseRequests()
	result.Assert(counts.requests > 0 && counts.inTime == counts.requests,
		a.name+": every request is in time, but those of a killed router", "%d of %d, %d died with their router",
		counts.inTime, counts.requests, counts.killed)
	return nil
}

// runRound sends a request for an uncached object to all routers at once.
func (a leaseArm) runRound(cluster *Cluster, round int) {
	object := uint64(firstLeaseObject + round)
	scheduledAt := time.Now()
	for i, router := range cluster.Routers {
		if !router.WasKilled() {
			cluster.inBackground(func() { cluster.Fetch(i, scheduledAt, object) })
		}
	}
	if a.killsHolders && round < roundsWithKill {
		time.Sleep(25 * time.Millisecond)
		cluster.killLeaseHolder(object)
	}
	time.Sleep(450 * time.Millisecond)
}

// leaseCounts counts the requests for objects that all routers miss at once; requests excludes those counted in killed.
type leaseCounts struct{ requests, inTime, killed int }

func (c *Cluster) countLeaseRequests() (counts leaseCounts) {
	for i, clients := range c.Clients {
		for _, request := range clients.Requests() {
			switch {
			case request.Object.ID < firstLeaseObject:
			case request.IsInTime():
				counts.requests++
				counts.inTime++
			case c.Routers[i].WasKilled() && request.Answers == 0:
				counts.killed++
			default:
				counts.requests++
			}
		}
	}
	return counts
}

// killLeaseHolder kills the router that has a fill of an object in flight: the first one whose request for the object
// reached a parent.
func (c *Cluster) killLeaseHolder(object uint64) {
	for _, parent := range c.Parents {
		for _, received := range parent.Received() {
			if received.Object.ID != object {
				continue
			}
			if holder, found := c.routerOf(received.RequestID); found {
				c.Kill(holder)
				return
			}
		}
	}
}

// routerOf returns the router that a request was sent to, unless that router was killed.
func (c *Cluster) routerOf(requestID string) (router int, found bool) {
	for i, clients := range c.Clients {
		for _, request := range clients.Requests() {
			if request.ID == requestID && !c.Routers[i].WasKilled() {
				return i, true
			}
		}
	}
	return 0, false
}
