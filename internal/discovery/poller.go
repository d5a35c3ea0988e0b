package discovery

import (
	"context"
	"net/http"
	"time"

	"fennelarch/internal/engine"
	"fennelarch/policy/notification"
)

// maxPolls bounds the polls in flight: one that is not overdue, and older ones that may still bring what a slow server
// has to tell.
const maxPolls = 3

// poller polls the server at one address. The next poll is sent once the last one has ended or its response is overdue.
// In the latter case the server may have stopped, which only another poll can tell, or may be slow: so the overdue
// poll goes on beside the next one.
type poller struct {
	watcher  *Watcher
	ctx      context.Context
	client   *http.Client
	address  string
	deliver  func(engine.Message)
	results  chan pollResult
	inFlight int
	newest   *poll // nil once it has ended or is overdue
	pause    *backoff
	next     *time.Timer // sends the next poll
	isPaused bool        // the next poll is due when the timer fires
}

func (w *Watcher) newPoller(
	ctx context.Context, client *http.Client, address string, deliver func(engine.Message),
) *poller {
	return &poller{
		watcher: w, ctx: ctx, client: client, address: address, deliver: deliver,
		results: make(chan pollResult, maxPolls),
		pause:   newBackoff(w.limits.BackoffMin, w.limits.BackoffMax),
		next:    time.NewTimer(0), isPaused: true,
	}
}

// run polls until the context is done, and waits for the polls in flight.
func (p *poller) run() {
	defer p.next.Stop()
	for {
		select {
		case <-p.ctx.Done():
			for p.inFlight > 0 {
				if result := <-p.results; !result.isPart {
					p.inFlight--
				}
			}
			return
		case <-p.next.C:
			p.isPaused = false
			p.send()
		case result := <-p.results:
			if result.isPart {
				p.handlePart(&result)
				continue
			}
			p.inFlight--
			p.handleResult(&result)
		case <-p.newestOverdue():
			p.handleOverdue()
		}
	}
}

// newestOverdue returns the channel on which the newest poll reports that it is overdue, or nil if there is no poll.
func (p *poller) newestOverdue() <-chan struct{} {
	if p.newest == nil {
		return nil
	}
	return p.newest.overdue
}

func (p *poller) send() {
	sent := p.watcher.newPoll()
	p.newest = sent
	p.inFlight++
	passOn := func(result pollResult) { p.results <- result }
	go func() { passOn(sent.run(p.ctx, p.client, p.address, passOn)) }()
}

// handlePart applies the events of a response that goes on.
func (p *poller) handlePart(part *pollResult) {
	if p.ctx.Err() != nil {
		return
	}
	if err := p.watcher.applyResult(part, p.deliver); err != nil {
		p.watcher.logPoll(err)
	}
}

func (p *poller) handleResult(result *pollResult) {
	if p.ctx.Err() != nil {
		return
	}
	isNewest := result.poll == p.newest
	previousEvent := p.watcher.lastEvent
	err := p.watcher.handleResult(result, isNewest, p.deliver)
	p.watcher.logPoll(err)
	if isNewest {
		p.newest = nil
	}
	if p.newest != nil || p.isPaused {
		return
	}
	wasHeld := err == nil && result.endedAt.Sub(result.poll.start) > p.watcher.limits.BackoffMin
	if p.watcher.lastEvent > previousEvent || wasHeld {
		p.pause.reset()
		p.sendAfter(0)
	} else { // an immediate poll would have the same result
		p.sendAfter(p.pause.next())
	}
}

// handleOverdue has the next poll sent beside the one that is overdue, unless there are too many.
func (p *poller) handleOverdue() {
	p.newest = nil
	p.watcher.report(engine.DiscoveryReport{Kind: notification.PollOverdue, At: time.Now()})
	p.watcher.logPoll(errOverdue)
	if p.inFlight < maxPolls {
		p.sendAfter(p.pause.next())
	}
}

func (p *poller) sendAfter(wait time.Duration) {
	p.isPaused = true
	p.next.Reset(wait)
}
