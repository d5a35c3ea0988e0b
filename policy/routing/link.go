package routing

import (
	"math"
	"time"
)

// link is a link as this router's own transfers show it: room is how many fit at full pace, those of others
// included, 0 for no evidence.
type link struct {
	concurrency
	capacity            float64
	reportedUtilization float64       // as reported lately
	reportedAt          time.Duration // when
	observedAt          time.Duration // when its room was learned
}

// concurrency is what this router has out: busy now, usual its fading mean, at when busy changed.
type concurrency struct {
	current, average float64
	changedAt        time.Duration
}

// concurrencySpan is the span over which a link's usual load by this router is measured, to tell what others of its
// kind put on it: some views, even where each router has few.
const concurrencySpan = 5 * time.Second

func (b *concurrency) averageAt(now time.Duration) float64 {
	return b.current + (b.average-b.current)*math.Exp(-float64(now-b.changedAt)/float64(concurrencySpan))
}

func (b *concurrency) add(duty float64, now time.Duration) {
	b.average, b.changedAt = b.averageAt(now), now
	b.current += duty
}

// congestedSlowdown parts a transfer at full pace, with the noise of its size and way, from one on a full link.
const congestedSlowdown = 1.25

// observe takes the stretch of a transfer and how many ran beside it. One at full pace shows that more fit than
// ran; a stretched one how many did, at the least so many: a slow node gives less than one. A tenth forgets
// in some ten transfers; where they are few, each counts twice.
func (p *link) observe(stretch, busy, least float64, now time.Duration) {
	pace := 0.1 + 0.1*min(1, (now-p.observedAt).Seconds())
	p.observedAt = now
	switch {
	case stretch < congestedSlowdown:
		if p.capacity > 0 && busy+1 > p.capacity*0.7 {
			p.capacity += 0.1 * max(1, busy+1-p.capacity)
		}
	case p.capacity <= 0:
		p.capacity = max(least, busy/stretch*1.5)
	default:
		p.capacity += pace * (max(least, busy/stretch) - p.capacity)
	}
}

// capacityTrustedFor is how long a room under one transfer is believed without news: then one goes on trial.
const capacityTrustedFor = 2 * time.Second

// slowdown is how many times longer than alone one more transfer takes, on a link that gives a part of its
// room.
func (r *Router) slowdown(p *link, part float64) float64 {
	if p.capacity <= 0 {
		return 1
	}
	room := p.capacity
	if r.now-p.observedAt > capacityTrustedFor {
		room = max(1, room)
	}
	return max(1, (r.totalTransfers(p)+1)/(room*part))
}

// totalTransfers is how many transfers run on a link of the location by now: this router's, and for each of the others
// that share it what this one usually has there, or the middle of that and of what reports tell.
func (r *Router) totalTransfers(p *link) float64 {
	if r.localCache != noEndpoint && p == &r.endpoints[r.localCache].link {
		return p.current // nobody shares it
	}
	others := p.averageAt(r.now) * (1/r.trafficShare - 1)
	if p.reportedUtilization > 0 && r.now-p.reportedAt < reportValidFor && r.trafficShare < 1 {
		others = (others + max(0, p.reportedUtilization*p.capacity-p.averageAt(r.now))) / 2
	}
	return p.current + others
}

// countOnLinks counts a leg at the links that it uses, or takes it off again.
func (r *Router) countOnLinks(l *attempt, sign float64) {
	r.endpoints[l.endpoint].link.add(sign*l.linkShare, r.now)
	if l.needsFill && r.endpoints[l.source].role != roleCache {
		r.ingress.add(sign*l.linkShare, r.now)
	}
}

// ingressTransfers is the link into the router's location in transfers, 0 where it is not told.
func (s *Settings) ingressTransfers() float64 {
	if z := int(s.Zone); z < len(s.ZoneIngressKBPerSecond) && s.FlowKBPerSecond > 0 {
		return s.ZoneIngressKBPerSecond[z] / s.FlowKBPerSecond
	}
	return 0
}
