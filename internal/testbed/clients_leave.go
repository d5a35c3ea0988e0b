package testbed

import (
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"fennelarch/internal/fake/site"
)

var _ = Register(Experiment{
	Name:        "clients-leave",
	Description: "clients leave before their requests are answered, and come again with the same requests",
	Run:         runClientsLeave,
})

const (
	// noticeTimeout is how long after a client has left attempts for its requests may still begin.
	noticeTimeout = 100 * time.Millisecond
	// originWriteTime is how long the origin takes for a write, so that a client can leave meanwhile.
	originWriteTime = 150 * time.Millisecond
)

// leaveMode is how a client ends its connection.
type leaveMode uint8

const (
	leaveClosing    leaveMode = iota // closes it, with answers unread
	leaveResetting                   // resets it
	leaveReading                     // closes it after it has read what there was
	leaveCancelling                  // cancels all requests and stays
)

// leavingClient is a client that sends requests and leaves before they are answered, and then sends them again.
type leavingClient struct {
	name        string
	class       string
	requests    int
	bodyBytes   int
	pings       int           // sent before the requests, so that answers are left unread
	stay        time.Duration // time from the last request to its leaving
	mode        leaveMode
	again       time.Duration // time from its leaving to its coming again with the same requests, 0: it does not
	isTwice     bool          // it sends the same requests on two connections at the same time
	connections int           // at the same time, 0: one
}

// departures records when the client of each request left.
type departures struct {
	mu   sync.Mutex
	left map[string]time.Time
}

func (d *departures) record(ids []string, at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, id := range ids {
		d.left[id] = at
	}
}

// frames returns the requests as they are written, and their IDs.
func (c *leavingClient) frames(ids *idSource) (frames []byte, list []string) {
	for tag := range c.pings {
		frames = append(frames, PingFrame(strconv.Itoa(1_000_000+tag))...)
	}
	for tag := range c.requests {
		request := ids.request(c.class, strings.Repeat("y", c.bodyBytes))
		if c.class == classClip {
			request.Object = site.Object{ID: ids.next()}
		}
		frames, list = append(frames, request.Frame(strconv.Itoa(tag+1))...), append(list, request.ID)
	}
	return frames, list
}

// cancels returns the frames that cancel all requests.
func (c *leavingClient) cancels() (frames []byte) {
	for tag := range c.requests {
		frames = append(frames, CancelFrame(strconv.Itoa(tag+1))...)
	}
	return frames
}

// visit sends the requests once, and leaves.
func (c *leavingClient) visit(address string, frames []byte) (leftAt time.Time) {
	stream, err := net.DialTimeout("tcp", address, clientDialTimeout)
	if err != nil {
		return time.Now()
	}
	if c.mode >= leaveReading {
		go func() { _, _ = io.Copy(io.Discard, stream) }()
	}
	_ = stream.SetWriteDeadline(time.Now().Add(500 * time.Millisecond))
	_, _ = stream.Write(frames)
	time.Sleep(c.stay)
	switch c.mode {
	case leaveResetting:
		site.ResetConnection(stream)
	case leaveCancelling:
		_, _ = stream.Write(c.cancels())
		leftAt = time.Now()
		time.Sleep(time.Second)
		_ = stream.Close()
		return leftAt
	default:
		_ = stream.Close()
	}
	return time.Now()
}

// run visits the router until stop is closed.
func (c *leavingClient) run(address string, seed uint64, left *departures, stop <-chan struct{}) {
	var connections sync.WaitGroup
	for number := range max(1, c.connections) {
		connections.Go(func() {
			ids := newIDSource(seed, uint64(number))
			for {
				select {
				case <-stop:
					return
				default:
				}
				c.visits(address, ids, left)
			}
		})
	}
	connections.Wait()
}

// visits sends the same requests as often as the client does.
func (c *leavingClient) visits(address string, ids *idSource, left *departures) {
	frames, list := c.frames(ids)
	if c.isTwice {
		var other sync.WaitGroup
		other.Go(func() { c.visit(address, frames) })
		left.record(list, c.visit(address, frames))
		other.Wait()
		left.record(list, time.Now())
		return
	}
	left.record(list, c.visit(address, frames))
	if c.again > 0 {
		time.Sleep(c.again)
		left.record(list, c.visit(address, frames))
	}
}

// assertLeaving asserts that nothing was sent for a client that had left, and that no write ran twice.
func (c *Cluster) assertLeaving(name string, left *departures, result *Result) {
	late, total, worst := 0, 0, time.Duration(0)
	for _, server := range append(append([]*site.CacheServer{c.Origin}, c.Parents...), c.Caches...) {
		for _, received := range server.Received() {
			at, hasLeft := left.left[received.RequestID]
			if !hasLeft || received.RequestID == "" {
				continue
			}
			total++
			if delay := received.BeganAt.Sub(at); delay > noticeTimeout+slack {
				late++
				worst = max(worst, delay)
			}
		}
	}
	twice := 0
	for id := range left.left {
		if c.Site.WriteRuns(id) > 1 {
			twice++
		}
	}
	result.Assert(late == 0, name+": nothing is sent for a client that has left",
		"%d of %d attempts, up to %v after it left", late, total, worst)
	result.Assert(twice == 0, name+": no write runs twice", "%d of %d requests ran twice", twice, len(left.left))
	result.Figure(name+" attempts", float64(total))
}

// leavingClients returns clients that leave in each way, after different times.
func leavingClients() (list []leavingClient) {
	stays := []time.Duration{0, 5 * time.Millisecond, 60 * time.Millisecond}
	for mode, modeName := range []string{"closing", "resetting", "reading", "cancelling"} {
		for _, class := range []string{classClip, classSignoff} {
			for i, client := range []leavingClient{
				{name: "few", requests: 20, again: 30 * time.Millisecond},
				{name: "much unread", requests: 3000, pings: 300},
				{name: "large", requests: 60, bodyBytes: 40_000, connections: 4},
				{name: "many", requests: 400, pings: 300, connections: 40},
			} {
				client.stay = stays[(i+len(list))%len(stays)]
				client.name = fmt.Sprintf("%s, %s after %v, %s", client.name, modeName, client.stay, class)
				client.class, client.mode = class, leaveMode(mode)
				list = append(list, client)
			}
		}
	}
	return append(list,
		leavingClient{name: "again after 400 ms", class: classSignoff, requests: 20, again: 400 * time.Millisecond},
		leavingClient{name: "again after 2 s", class: classSignoff, requests: 20, again: 2 * time.Second},
		leavingClient{name: "twice at once", class: classSignoff, requests: 20, isTwice: true, stay: 400 * time.Millisecond})
}

func runClientsLeave(options Options, result *Result) error {
	const parts = 3
	for i, client := range leavingClients() {
		if !options.isPlayed(i, parts) {
			continue
		}
		if err := client.runArm(options, result); err != nil {
			return err
		}
	}
	return nil
}

// runArm runs an arm in which usual clients send requests beside one that leaves.
func (c *leavingClient) runArm(options Options, result *Result) error {
	config := noStoreConfig(1)
	config.CacheCount, config.OriginTime = 3, site.ServiceTime{Base: originWriteTime}
	cluster, err := startCluster(options.Seed, config, 1)
	if err != nil {
		return err
	}
	left, stop := &departures{left: map[string]time.Time{}}, make(chan struct{})
	cluster.inBackground(func() { c.run(cluster.Routers[0].Address, options.Seed, left, stop) })
	cluster.ApplyLoad(Load{RequestsPerSecond: 40, Duration: options.duration(4 * time.Second), WriteShare: 0.05})
	close(stop)
	observed := cluster.End()
	cluster.assertLeaving(c.name, left, result)
	result.assertRules(c.name, observed)
	return nil
}
