package sharedstore

import (
	"container/heap"
	"time"

	"fennelarch/policy/routing"

	policy "fennelarch/policy/sharedstore"
)

// timer is a timer that the policy has set.
type timer struct {
	at        time.Duration // on the policy's clock, see Transport.now
	operation policy.OperationID
	endpoint  routing.EndpointID
	id        uint64
}

// timerQueue is a heap of timers, with the earliest first.
type timerQueue []timer

func (q timerQueue) Len() int           { return len(q) }
func (q timerQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q timerQueue) Less(i, j int) bool { return q[i].at < q[j].at }

// Push implements heap.Interface.
func (q *timerQueue) Push(x any) { *q = append(*q, x.(timer)) }

// Pop implements heap.Interface.
func (q *timerQueue) Pop() any {
	last := len(*q) - 1
	popped := (*q)[last]
	*q = (*q)[:last]
	return popped
}

func (t *Transport) setTimer(action *policy.Action) {
	heap.Push(&t.timers, timer{
		at: t.now() + action.Delay, operation: action.Operation, endpoint: action.Endpoint, id: action.TimerID,
	})
	if t.timers[0].id == action.TimerID {
		t.wakeRun() // this timer is now the first to fire
	}
}

// fireTimers reports the timers that are due to the policy, and sets the alarm for the next one.
func (t *Transport) fireTimers(alarm *time.Timer) {
	now := t.now()
	for len(t.timers) > 0 && t.timers[0].at <= now {
		due := heap.Pop(&t.timers).(timer)
		t.handle(&policy.Event{
			Kind: policy.EventTimer, Operation: due.operation, Endpoint: due.endpoint, TimerID: due.id,
		})
	}
	if len(t.timers) > 0 {
		alarm.Reset(max(0, t.timers[0].at-t.now()))
	}
}
