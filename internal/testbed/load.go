package testbed

import (
	"math/rand/v2"
	"sync"
	"time"

	"fennelarch/internal/fake/site"

	"gonum.org/v1/gonum/stat/distuv"
)

// Parameters of a write.
const (
	writeSizeKB           = 4
	writeTimeout          = 3 * time.Second
	writeLatencyObjective = 700 * time.Millisecond
)

// objectiveTransferFactor is the time that the latency objective allows for a transfer, as a multiple of its duration
// at the full rate.
const objectiveTransferFactor = 1.6

// Load is an open-loop load: requests are sent when they are scheduled and do not wait for earlier ones.
type Load struct {
	RequestsPerSecond float64 // at each router
	Duration          time.Duration
	WriteShare        float64 // share of writes among all requests
	UniqueObjects     bool    // each request is for a different object
}

// ApplyLoad applies a load to all routers and returns when the last request has been sent.
func (c *Cluster) ApplyLoad(load Load) {
	var routers sync.WaitGroup
	for router := range c.Clients {
		routers.Go(func() { c.applyLoadTo(router, load) })
	}
	routers.Wait()
}

func (c *Cluster) applyLoadTo(router int, load Load) {
	rng := rand.New(rand.NewPCG(c.Seed*77+uint64(router), uint64(load.RequestsPerSecond*1000)))
	gaps := distuv.Exponential{Rate: load.RequestsPerSecond, Src: rng}
	popularity := rand.NewZipf(rng, max(1.01, c.PopularitySkew), 4, uint64(max(1, c.Objects-1)))
	startedAt, offset, count := time.Now(), time.Duration(0), uint64(0)
	for {
		offset += time.Duration(gaps.Rand() * float64(time.Second))
		if offset >= load.Duration {
			return
		}
		object := popularity.Uint64() + 1
		count++
		if load.UniqueObjects {
			object = uint64(router+1)*1_000_000 + count
		}
		isWrite := rng.Float64() < load.WriteShare
		scheduledAt := startedAt.Add(offset)
		time.Sleep(time.Until(scheduledAt))
		if isWrite {
			c.Write(router, scheduledAt, object)
		} else {
			c.Fetch(router, scheduledAt, object)
		}
	}
}

// Fetch sends a request for an object to a router.
func (c *Cluster) Fetch(router int, scheduledAt time.Time, object uint64) {
	sizeKB := c.sizeKB(object)
	transfer := time.Duration(objectiveTransferFactor * sizeKB / c.Settings.TransferKBPerSecond * float64(time.Second))
	c.Clients[router].Send(RequestSpec{
		ScheduledAt: scheduledAt, Class: classClip, Object: site.Object{ID: object}, Group: c.group(object),
		SizeKB: sizeKB, Timeout: c.Settings.Deadline, LatencyObjective: c.Settings.LatencyObjective + transfer,
	})
}

// Write sends a write of an object to a router.
func (c *Cluster) Write(router int, scheduledAt time.Time, object uint64) {
	c.Clients[router].Send(RequestSpec{
		ScheduledAt: scheduledAt, Class: classSignoff, Object: site.Object{ID: object}, Group: c.group(object),
		SizeKB: writeSizeKB, Timeout: writeTimeout, LatencyObjective: writeLatencyObjective, Body: "signed",
	})
}
