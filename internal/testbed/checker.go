package testbed

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"fennelarch/internal/fake/redis"
	"fennelarch/internal/fake/site"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// slack is what the system itself may add to a time.
const slack = 50 * time.Millisecond

// Observations is what was seen of a cluster: what became of each request, and the rules that were broken.
type Observations struct {
	Requests      int
	Served        int
	InTime        int
	Rejected      int
	Failed        int
	Crossed       int // they crossed the close of an idle connection
	Lost          int
	LastLoss      string // when the last one was lost
	AnsweredTwice int
	Late          int
	Stale         int
	WrongBytes    int
	RanTwice      int
	AfterDrain    int
	OriginFills   int
	ResponseTimes *hdrhistogram.Histogram // in microseconds
	CPU           time.Duration           // of all routers
	PeakMB        float64                 // of the one that used most
	Files         int
	Store         redis.Counts
	Errors        []string
}

func newObservations() *Observations {
	const minMicroseconds, maxMicroseconds, digits = 1, 60_000_000, 3
	return &Observations{ResponseTimes: hdrhistogram.New(minMicroseconds, maxMicroseconds, digits)}
}

// InTimeShare is the share of requests that were served within their latency objective.
func (o *Observations) InTimeShare() float64 { return float64(o.InTime) / float64(max(1, o.Requests)) }

// PercentileMS is a percentile of the response time of served requests, in milliseconds.
func (o *Observations) PercentileMS(percent float64) float64 {
	return float64(o.ResponseTimes.ValueAtQuantile(percent)) / 1000
}

// End settles the clients, ends the routers and the servers, and returns what was seen. The rules are checked by what
// clients and servers saw.
func (c *Cluster) End() *Observations {
	c.background.Wait()
	seen := newObservations()
	c.settleClients()
	c.observeUsage(seen)
	c.stopRouters()
	if c.Store != nil {
		seen.Store = c.Store.Counts()
		c.Store.Close()
	}
	c.Site.Close()
	for _, clients := range c.Clients {
		for _, request := range clients.Requests() {
			c.checkRequest(seen, request)
		}
	}
	for _, received := range c.Origin.Received() {
		if !received.IsWrite {
			seen.OriginFills++
		}
	}
	c.checkDrains(seen)
	for _, err := range c.errs {
		seen.Errors = append(seen.Errors, err.Error())
	}
	c.writeLogs()
	_ = os.RemoveAll(c.folder)
	return seen
}

func (c *Cluster) settleClients() {
	var all sync.WaitGroup
	for _, clients := range c.Clients {
		all.Go(clients.settle)
	}
	all.Wait()
}

func (c *Cluster) observeUsage(seen *Observations) {
	for _, router := range c.Routers {
		if router.WasKilled() {
			continue
		}
		usage := router.Usage()
		seen.CPU += usage.CPU
		seen.PeakMB, seen.Files = max(seen.PeakMB, usage.PeakMB), max(seen.Files, usage.Files)
	}
}

func (c *Cluster) stopRouters() {
	var all sync.WaitGroup
	for _, router := range c.Routers {
		all.Go(func() { c.fail(router.Stop()) })
	}
	all.Wait()
}

// writeLogs writes the routers' logs to the folder that FENNELAB_LOGS names, for a look at why an assertion failed.
func (c *Cluster) writeLogs() {
	folder := os.Getenv("FENNELAB_LOGS")
	if folder == "" {
		return
	}
	for _, router := range c.Routers {
		name := fmt.Sprintf("%s-%d-%s.log", filepath.Base(c.folder), c.Seed, router.Name)
		_ = os.WriteFile(filepath.Join(folder, name), []byte(router.Log()), 0o600)
	}
}

// checkRequest counts what became of a request, and the rules that it shows broken.
func (c *Cluster) checkRequest(seen *Observations, request *Request) {
	seen.Requests++
	if request.SentAt.IsZero() {
		seen.Failed++
		return
	}
	if request.Answers == 0 {
		c.countUnanswered(seen, request)
		return
	}
	if request.Answers > 1 {
		seen.AnsweredTwice++
	}
	if request.AnsweredAt.Sub(request.SentAt) > request.Timeout+slack {
		seen.Late++
	}
	switch request.Status {
	case StatusOK:
		seen.Served++
		_ = seen.ResponseTimes.RecordValue(max(1, request.ResponseTime().Microseconds()))
		if request.IsInTime() {
			seen.InTime++
		}
	case StatusBusy:
		seen.Rejected++
	default:
		seen.Failed++
	}
	if request.Class != classClip {
		c.checkWrite(seen, request)
		return
	}
	if request.Status == StatusOK {
		c.checkCopy(seen, request)
	}
}

func (c *Cluster) countUnanswered(seen *Observations, request *Request) {
	hasEnded := !request.EndedAt.IsZero()
	endedAfter := request.EndedAt.Sub(request.SentAt)
	switch {
	case hasEnded && endedAfter <= slack: // it crossed the close of an idle connection: a client may send it again
		seen.Crossed++
		seen.Failed++
	case c.wasKilledUnder(request):
		seen.Failed++
	default:
		seen.Lost++
		seen.LastLoss = fmt.Sprintf("sent %v after the start, ended %v later: %v",
			request.SentAt.Sub(c.startedAt).Round(time.Millisecond), endedAfter.Round(time.Millisecond), hasEnded)
	}
}

// wasKilledUnder says whether a request's router was killed while it was in flight.
func (c *Cluster) wasKilledUnder(request *Request) bool {
	return slices.ContainsFunc(c.killsOf[request.Router], func(killedAt time.Time) bool {
		return request.SentAt.Before(killedAt) && killedAt.Sub(request.SentAt) < request.Timeout
	})
}

// checkWrite finds writes that ran twice, or that ran though they were rejected.
func (c *Cluster) checkWrite(seen *Observations, request *Request) {
	runs := c.Site.WriteRuns(request.ID)
	if runs > 1 || request.Status == StatusBusy && runs > 0 {
		seen.RanTwice++
	}
}

// checkCopy finds copies with wrong bytes, and those from before a purge past the grace.
func (c *Cluster) checkCopy(seen *Observations, request *Request) {
	object, createdAt, isIntact := site.ParseBody(request.Response)
	if !isIntact || object != request.Object {
		seen.WrongBytes++
		return
	}
	for _, purge := range c.purges {
		isPurged := purge.object == object.ID || purge.object == 0 && purge.group == c.group(object.ID)
		isPastGrace := request.SentAt.After(purge.at.Add(c.Settings.Grace + slack))
		if isPurged && isPastGrace && !createdAt.After(purge.at) {
			seen.Stale++
			return
		}
	}
}

// checkDrains counts the attempts to, and the fills from, a draining server past the grace.
func (c *Cluster) checkDrains(seen *Observations) {
	for uid, publishedAt := range c.drains {
		graceEnds := publishedAt.Add(c.Settings.Grace + slack)
		for _, server := range slices.Concat(c.Parents, c.Caches) {
			for _, received := range server.Received() {
				isUse := server.UID == uid && received.FilledFor == "" || received.Source == uid
				if isUse && received.At.After(graceEnds) {
					seen.AfterDrain++
				}
			}
		}
	}
}
