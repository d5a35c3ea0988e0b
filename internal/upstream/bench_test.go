package upstream

import (
	"testing"
	"time"

	"fennelarch/internal/engine"
)

// BenchmarkExchange is one attempt through a session: queued, written and answered.
func BenchmarkExchange(b *testing.B) {
	s := testSession()
	attempt := leg(0xa7)
	attempt.Deadline = time.Now().Add(time.Hour)
	response := []byte(frame(ident, "200", "how=local,sum=4be0,stats=util:0.5;x1:1", "body"))
	b.ReportAllocs()
	for b.Loop() {
		now := time.Now()
		s.answered = s.answered[:0]
		s.enqueue(exchange{attempt: attempt, notAfter: now.Add(time.Minute)})
		s.wrote(len(s.nextOutput(now)), now)
		n := copy(s.readBuffer(), response)
		if err := s.received(n, now); err != nil {
			b.Fatal(err)
		}
		if _, isResult := s.takeResults()[0].(engine.AttemptResult); !isResult {
			b.Fatal("no result")
		}
	}
}
