package engine

// The wall clock steps, here and elsewhere: what others stamped is never taken for older or younger than is safe.

import (
	"testing"
	"time"

	"fennelarch/policy/routing"
)

// stepped is a rig whose wall clock has been set by so much.
func stepped(by time.Duration, own ...LocalCacheSettings) *watcher {
	w := newWatcher(nil, "", own...)
	w.setClock(by)
	return w
}

// setClock sets the wall clock by so much.
func (w *watcher) setClock(by time.Duration) {
	w.stamps.read = func() (time.Duration, time.Time) { return w.at, w.start.Add(w.at + by).Round(0) }
}

// startOf is when the engine takes a server to have started, before now.
func (w *watcher) startOf(boot time.Time) (ago time.Duration) {
	w.tell(EndpointList{Endpoints: []Endpoint{{Endpoint: routing.Endpoint{ID: 9, State: routing.Ready, Weight: 1}, BootTime: boot.Round(0)}}})
	return w.now - w.members[0].StartedAt
}

// A server that started a moment ago is told, stamped by a clock that has stepped, or by one that has not: it is never taken for
// older than it is, nor for one that starts later, and telling it again does not make it younger.
func TestWallClockSteps(t *testing.T) {
	const age = 2 * time.Second
	for _, step := range []time.Duration{0, -time.Hour, time.Hour, -5 * time.Second, 5 * time.Second} {
		for _, theirs := range []time.Duration{0, step} {
			w := stepped(step)
			w.pass(10 * time.Second)
			boot := w.start.Add(w.at - age + theirs)
			ago := w.startOf(boot)
			if ago > age || ago < 0 || step == 0 && ago != age {
				t.Errorf("step %v, stamp stepped by %v: a server that started %v ago is taken for one of %v", step, theirs, age, ago)
			}
			w.pass(3 * time.Second)
			if again := w.startOf(boot); again != ago+3*time.Second {
				t.Errorf("step %v, stamp stepped by %v: told again 3 s later, its age is %v after %v", step, theirs, again, ago)
			}

			w.tell(Purge{Object: 7, Issued: w.start.Add(w.at - age + theirs).Round(0)})
			w.pass(time.Second)
			w.view(1, 0, 2*time.Second)
			if got := w.legs[0].MaxAge; got <= 0 || got > age+time.Second {
				t.Errorf("step %v, stamp stepped by %v: %v after a purge copies may be %v old", step, theirs, age+time.Second, got)
			}
		}
	}
	t.Run("own copies", ownCopiesAcrossSteps)
}

// A copy of the router's own, stamped on either clock, is not given out once a purge was told, nor once it is older than it may be.
func ownCopiesAcrossSteps(t *testing.T) {
	own := LocalCacheSettings{Bytes: 1 << 20, FlowBytesPerSecond: 1e6, LinkBytesPerSecond: 1e6, MaxInFlight: 10 * time.Second}
	ask := &Request{Object: 7}
	for _, step := range []time.Duration{0, -time.Hour, time.Hour} {
		for _, theirs := range []time.Duration{0, step} {
			w := stepped(0, own)
			w.view(1, 0, 2*time.Second)
			w.tell(AttemptResult{
				Attempt: w.legs[0], Outcome: routing.Succeeded, Note: routing.NoteHit, Body: []byte("bytes"), ETag: "tag",
				GeneratedAt: w.start.Add(w.at + theirs).Round(0),
			})
			w.setClock(step)
			w.pass(time.Second)
			if step == 0 && w.ownCopy(ask, time.Minute) == nil {
				t.Error("a copy is lost without any step")
			}
			w.at += 30 * time.Minute
			w.Handle(w.at, Event{})
			if w.ownCopy(ask, time.Minute) != nil {
				t.Errorf("step %v, stamp stepped by %v: a copy half an hour old is given where a minute is allowed", step, theirs)
			}
			w.tell(Purge{Object: 7, Issued: w.start.Add(w.at + step).Round(0)})
			if w.ownCopy(ask, 0) != nil {
				t.Errorf("step %v, stamp stepped by %v: a purged copy is given out", step, theirs)
			}
			// What was on its way when the purge was told is older than it, whatever its stamp says.
			w.view(2, 0, 2*time.Second)
			w.tell(AttemptResult{
				Attempt: w.legs[len(w.legs)-1], Outcome: routing.Succeeded, Note: routing.NoteHit, Body: []byte("bytes"), ETag: "tag",
				GeneratedAt: w.start.Add(w.at - time.Second + theirs).Round(0),
			})
			if w.ownCopy(ask, 0) != nil {
				t.Errorf("step %v, stamp stepped by %v: a copy from before a purge is kept after it", step, theirs)
			}
		}
	}
}

func (w *watcher) ownCopy(a *Request, oldest time.Duration) *ownCopy {
	return w.copies.find(a, oldest, w.now)
}
