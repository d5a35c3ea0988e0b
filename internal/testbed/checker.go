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

// slack is the delay that the operating system may add to a measured time.
const slack = 50 * time.Millisecond

// Observations counts the outcomes of a cluster's requests and the violations of each rule.
type Observations struct {
	Requests        int
	Served          int
	InTime          int
	Rejected        int
	Failed          int
	Abandoned       int // whose client closed the connection
	SentDuringClose int // sent while the router closed an idle connection
	Lost            int
	LastLoss        string // describes the last lost request
	AnsweredTwice   int
	Late            int // answered after the deadline
	Stale           int // copies from before a purge, served after the grace
	WrongBytes      int
	RanTwice        int                     // writes that ran twice, or ran although they were rejected
	AfterDrain      int                     // uses of a draining server after the grace
	OriginFills     int                     // requests to the origin other than writes
	ResponseTimes   *hdrhistogram.Histogram // in microseconds
	CPU             time.Duration           // of all routers
	PeakMB          float64                 // of the router that used most
	Files           int                     // of the router with most open files
	Store           redis.Counts
	Errors          []string
}

func newObservations() *Observations {
	const minMicroseconds, maxMicroseconds, digits = 1, 60_000_000, 3
	return &Observations{ResponseTimes: hdrhistogram.New(minMicroseconds, maxMicroseconds, digits)}
}

// InTimeShare returns the share of requests that were served within their latency objective.
func (o *Observations) InTimeShare() float64 { return float64(o.InTime) / float64(max(1, o.Requests)) }

// PercentileMS returns a percentile of the response time of served requests, in milliseconds.
func (o *Observations) PercentileMS(percent float64) float64 {
	return float64(o.ResponseTimes.ValueAtQuantile(percent)) / 1000
}

// End waits for the clients, stops the routers and the servers, and checks the rules. The checks use only what clients
// and servers observed.
func (c *Cluster) End() *Observations {
	c.background.Wait()
	observed := newObservations()
	c.settleClients()
	c.observeUsage(observed)
	c.stopRouters()
	if c.Store != nil {
		observed.Store = c.Store.Counts()
		c.Store.Close()
	}
	c.Site.Close()
	for _, clients := range c.Clients {
		for _, request := range clients.Requests() {
			c.checkRequest(observed, request)
		}
	}
	for _, received := range c.Origin.Received() {
		if !received.IsWrite {
			observed.OriginFills++
		}
	}
	c.checkDrains(observed)
	for _, err := range c.errs {
		observed.Errors = append(observed.Errors, err.Error())
	}
	c.writeLogs()
	_ = os.RemoveAll(c.folder)
	return observed
}

func (c *Cluster) settleClients() {
	var settling sync.WaitGroup
	for _, clients := range c.Clients {
		settling.Go(clients.settle)
	}
	settling.Wait()
}

func (c *Cluster) observeUsage(observed *Observations) {
	for _, router := range c.Routers {
		if router.WasKilled() {
			continue
		}
		usage := router.Usage()
		observed.CPU += usage.CPU
		observed.PeakMB, observed.Files = max(observed.PeakMB, usage.PeakMB), max(observed.Files, usage.Files)
	}
}

func (c *Cluster) stopRouters() {
	var stopping sync.WaitGroup
	for _, router := range c.Routers {
		stopping.Go(func() { c.fail(router.Stop()) })
	}
	stopping.Wait()
}

// writeLogs writes the routers' logs to the folder that FENNELAB_LOGS names, to find out why an assertion failed.
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

// checkRequest counts the outcome of a request and the rules that it violates.
func (c *Cluster) checkRequest(observed *Observations, request *Request) {
	observed.Requests++
	if request.SentAt.IsZero() {
		observed.Failed++
		return
	}
	if request.Answers == 0 {
		c.countUnanswered(observed, request)
		return
	}
	if request.Answers > 1 {
		observed.AnsweredTwice++
	}
	if request.AnsweredAt.Sub(request.SentAt) > request.Timeout+slack {
		observed.Late++
	}
	switch request.Status {
	case StatusOK:
		observed.Served++
		_ = observed.ResponseTimes.RecordValue(max(1, request.ResponseTime().Microseconds()))
		if request.IsInTime() {
			observed.InTime++
		}
	case StatusBusy:
		observed.Rejected++
	default:
		observed.Failed++
	}
	if request.Class != classClip {
		c.checkWrite(observed, request)
		return
	}
	if request.Status == StatusOK {
		c.checkCopy(observed, request)
	}
}

func (c *Cluster) countUnanswered(observed *Observations, request *Request) {
	isDisconnected := !request.DisconnectedAt.IsZero()
	disconnectedAfter := request.DisconnectedAt.Sub(request.SentAt)
	switch {
	case request.IsAbandoned: // for example after a write timeout, when this process had no CPU time
		observed.Abandoned++
		observed.Failed++
	case isDisconnected && disconnectedAfter <= slack: // sent while an idle connection closed: the client may retry
		observed.SentDuringClose++
		observed.Failed++
	case c.wasKilledDuring(request):
		observed.Failed++
	default:
		observed.Lost++
		observed.LastLoss = fmt.Sprintf("sent %v after the start, disconnected %v later (disconnected: %v)",
			request.SentAt.Sub(c.startedAt).Round(time.Millisecond), disconnectedAfter.Round(time.Millisecond),
			isDisconnected)
	}
}

// wasKilledDuring reports whether a request's router was killed while the request was in flight.
func (c *Cluster) wasKilledDuring(request *Request) bool {
	return slices.ContainsFunc(c.killTimes[request.Router], func(killedAt time.Time) bool {
		return request.SentAt.Before(killedAt) && killedAt.Sub(request.SentAt) < request.Timeout
	})
}

// checkWrite counts a write that ran twice, or that ran although it was rejected.
func (c *Cluster) checkWrite(observed *Observations, request *Request) {
	runs := c.Site.WriteRuns(request.ID)
	if runs > 1 || request.Status == StatusBusy && runs > 0 {
		observed.RanTwice++
	}
}

// checkCopy counts a copy with wrong bytes, and a copy from before a purge that was served after the grace.
func (c *Cluster) checkCopy(observed *Observations, request *Request) {
	object, createdAt, isIntact := site.ParseBody(request.Response)
	if !isIntact || object != request.Object {
		observed.WrongBytes++
		return
	}
	for _, purge := range c.purges {
		isPurged := purge.object == object.ID || purge.object == 0 && purge.group == c.group(object.ID)
		isPastGrace := request.SentAt.After(purge.at.Add(c.Settings.Grace + slack))
		if isPurged && isPastGrace && !createdAt.After(purge.at) {
			observed.Stale++
			return
		}
	}
}

// checkDrains counts the attempts sent to a draining server, and the fills from it, after the grace.
func (c *Cluster) checkDrains(observed *Observations) {
	for uid, publishedAt := range c.drains {
		graceEnds := publishedAt.Add(c.Settings.Grace + slack)
		for _, server := range slices.Concat(c.Parents, c.Caches) {
			for _, received := range server.Received() {
				isUse := server.UID == uid && received.FilledFor == "" || received.Source == uid
				if isUse && received.At.After(graceEnds) {
					observed.AfterDrain++
				}
			}
		}
	}
}
