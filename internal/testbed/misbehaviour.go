package testbed

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"fennelarch/internal/fake/site"
)

const (
	// badRequestTimeout is the timeout that bad clients name.
	badRequestTimeout = 3 * time.Second
	// maxBodyBytes is the longest body that a request may have.
	maxBodyBytes = 48_000
	// reconnectPause is the pause before a bad client opens another connection in place of one that has ended.
	reconnectPause = 20 * time.Millisecond
	// memoryInterval is the interval at which the memory of a router is read.
	memoryInterval = 5 * time.Millisecond
	// fullScale is the scale from which an experiment plays all its arms. Below it, each seed plays some of them.
	fullScale = 0.5
)

// misbehavingClient is a client that misbehaves on one connection after the other.
type misbehavingClient struct {
	name        string
	connections int  // at the same time
	isReading   bool // it reads what it is sent
	misbehave   func(stream net.Conn, ids *idSource)
}

// idSource returns request IDs and objects that nobody else uses.
type idSource struct{ random *rand.Rand }

func newIDSource(seed, number uint64) *idSource {
	return &idSource{random: rand.New(rand.NewPCG(seed, number))}
}

func (s *idSource) next() uint64 { return s.random.Uint64()>>2 | 1<<61 }

// request returns a request of a class for an object that no server knows.
func (s *idSource) request(class, body string) ClientRequest {
	return ClientRequest{
		ID: fmt.Sprintf("%016x", s.next()), Class: class, Object: site.Object{ID: s.next()}, Group: 1, SizeKB: 30,
		Timeout: badRequestTimeout, Body: body,
	}
}

// run keeps the client's connections open and misbehaving until stop is closed.
func (c *misbehavingClient) run(address string, seed uint64, stop <-chan struct{}) {
	var connections sync.WaitGroup
	for number := range c.connections {
		connections.Go(func() { c.runConnections(address, newIDSource(seed, uint64(number)), stop) })
	}
	connections.Wait()
}

// runConnections misbehaves on one connection after the other.
func (c *misbehavingClient) runConnections(address string, ids *idSource, stop <-chan struct{}) {
	for {
		stream, err := net.DialTimeout("tcp", address, clientDialTimeout)
		if err == nil {
			c.runConnection(stream, ids, stop)
		}
		select {
		case <-stop:
			return
		case <-time.After(reconnectPause):
		}
	}
}

// runConnection misbehaves on a connection until it ends or stop is closed.
func (c *misbehavingClient) runConnection(stream net.Conn, ids *idSource, stop <-chan struct{}) {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if c.isReading {
			go func() { _, _ = io.Copy(io.Discard, stream) }()
		}
		c.misbehave(stream, ids)
	}()
	select {
	case <-stop:
	case <-ended:
	}
	_ = stream.Close()
	<-ended
}

// misbehaviourArm is an arm of an experiment in which usual clients send requests beside one that misbehaves.
type misbehaviourArm struct {
	client   misbehavingClient
	memoryMB int
	sockets  int
}

func (a *misbehaviourArm) name() string {
	return fmt.Sprintf("%s, %d MB, %d descriptors", a.client.name, a.memoryMB, a.sockets)
}

// run runs the arm and asserts that the usual clients get their answers and that the router stays within its memory.
func (a *misbehaviourArm) run(options Options, result *Result) error {
	config := noStoreConfig(1)
	config.CacheCount, config.FixedBytes, config.RouterDescriptorLimit = 3, 100_000, a.sockets
	config.Settings.MemoryMB, config.Settings.Sockets = a.memoryMB, a.sockets
	config.Settings.LocalFlowBytes = 310_000
	cluster, err := startCluster(options.Seed, config, 1)
	if err != nil {
		return err
	}
	stop, watched := make(chan struct{}), make(chan int)
	go func() { watched <- peakAnonymousKB(cluster.Routers[0].PID(), stop) }()
	duration := options.duration(6 * time.Second)
	cluster.inBackground(func() {
		time.Sleep(duration / 6)
		a.client.run(cluster.Routers[0].Address, options.Seed, stop)
	})
	cluster.ApplyLoad(Load{RequestsPerSecond: 60, Duration: duration, WriteShare: 0.05})
	time.Sleep(duration / 6)
	close(stop)
	peak := <-watched
	observed := cluster.End()
	result.Assert(peak > 0 && peak <= a.memoryMB<<10, a.name()+": the router stays within its memory",
		"%d of %d KB", peak, a.memoryMB<<10)
	result.assertRules(a.name(), observed)
	result.Figure(a.name()+" peak KB", float64(peak))
	result.Figure(a.name()+" served share", float64(observed.Served)/float64(max(1, observed.Requests)))
	return nil
}

// peakAnonymousKB returns the most memory that is a process's alone, as the system reports it until stop is closed.
func peakAnonymousKB(pid int, stop <-chan struct{}) (peak int) {
	for {
		select {
		case <-stop:
			return peak
		case <-time.After(memoryInterval):
			peak = max(peak, anonymousKB(pid))
		}
	}
}

// anonymousKB returns the memory that is a process's alone, or 0 if it has ended.
func anonymousKB(pid int) int {
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(status)) {
		if value, found := strings.CutPrefix(line, "RssAnon:"); found {
			memory, _ := strconv.Atoi(strings.Fields(value)[0])
			return memory
		}
	}
	return 0
}

// isPlayed reports whether an arm of an experiment is played: all are at full scale, else one of parts, by the seed.
func (o Options) isPlayed(arm, parts int) bool {
	return o.Scale >= fullScale || arm%parts == int(o.Seed%uint64(parts))
}
