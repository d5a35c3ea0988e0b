package sharedstore

import (
	"context"
	"strings"
	"testing"
	"time"

	"fennelarch/internal/fake/redis"
	"fennelarch/policy/routing"

	goredis "github.com/redis/go-redis/v9"
	"go.uber.org/zap"
)

// BenchmarkGetTransport measures a get of 20 KB through the transport. BenchmarkGetLibrary measures the same get with
// go-redis, a client library that could be used instead.
func BenchmarkGetTransport(b *testing.B) {
	f := newFixture(b, zap.NewNop())
	time.Sleep(copyProvenAfter)
	f.request(7)
	f.result(b)
	time.Sleep(50 * time.Millisecond)
	b.ReportAllocs()
	b.SetBytes(20_000)
	for b.Loop() {
		f.request(7)
		if result := f.result(b); result.Note != routing.NoteHit {
			b.Fatal(result.Note)
		}
	}
}

func BenchmarkGetLibrary(b *testing.B) {
	store, err := redis.Start(redis.Config{InitialAge: time.Hour})
	if err != nil {
		b.Fatal(err)
	}
	defer store.Close()
	client := goredis.NewClient(&goredis.Options{
		Addr: store.Address(), Protocol: 2, MaxRetries: -1, DisableIdentity: true,
	})
	defer func() { _ = client.Close() }()
	ctx := context.Background()
	if err := client.Set(ctx, "k", strings.Repeat("x", 20_000), 0).Err(); err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	b.SetBytes(20_000)
	for b.Loop() {
		ctx, cancel := context.WithTimeout(ctx, time.Second)
		if _, err := client.Get(ctx, "k").Bytes(); err != nil {
			b.Fatal(err)
		}
		cancel()
	}
}

// Abandoning a get returns at once in the transport. In go-redis the get holds its connection until the read timeout.
func TestAbortedGetReturnsAtOnce(t *testing.T) {
	store, err := redis.Start(redis.Config{InitialAge: time.Hour})
	if err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	store.SetFault(redis.Fault{Silent: true})
	client := goredis.NewClient(&goredis.Options{
		Addr: store.Address(), Protocol: 2, MaxRetries: -1, DisableIdentity: true,
		ReadTimeout: 300 * time.Millisecond,
	})
	defer func() { _ = client.Close() }()
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	startedAt := time.Now()
	err = client.Get(ctx, "k").Err()
	t.Logf("go-redis returned %v after %v", err, time.Since(startedAt).Round(time.Millisecond))
	f := newFixture(t, zap.NewNop())
	f.redis.SetFault(redis.Fault{Silent: true})
	startedAt = time.Now()
	f.Abort(f.request(1))
	if elapsed := time.Since(startedAt); elapsed > 10*time.Millisecond {
		t.Errorf("aborting took %v, want at most 10 ms", elapsed)
	}
}
