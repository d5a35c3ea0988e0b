package testbed

import (
	"crypto/tls"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"fennelarch/internal/fake/site"
)

const (
	// connectTimeout is how long a known client tries to connect.
	connectTimeout = time.Second
	// knownClientTimeout is the timeout of a known client's requests, responseWait how long it waits for a response.
	knownClientTimeout = 2 * time.Second
	responseWait       = 2200 * time.Millisecond
	// secondAnswerWait is how long a known client waits for an erroneous second answer.
	secondAnswerWait = 20 * time.Millisecond
	// inTimeLimit is the time from the first attempt to connect to the response, up to which a request is in time.
	inTimeLimit = 410 * time.Millisecond
	// minResponseBytes is the length of the shortest response.
	minResponseBytes = 20
)

// knownClient is a client that routers know by its address or certificate. It opens a new connection for each request,
// as a device with a poor signal does.
type knownClient struct {
	address      string // of the router
	localAddress string
	tls          *tls.Config

	mu       sync.Mutex
	outcomes []requestOutcome
}

// requestOutcome is the outcome of a known client's request.
type requestOutcome struct {
	startedAt    time.Time
	connectTime  time.Duration // 0: it did not connect within connectTimeout
	isWritten    bool          // the connection was accepted and the request was written completely
	status       string        // "": no answer
	responseTime time.Duration
	loss         string // describes what was received instead of an answer
}

// run sends a request per interval until the given time, then waits for the outcomes.
func (c *knownClient) run(interval time.Duration, until time.Time) {
	var requests sync.WaitGroup
	for i := uint64(0); time.Now().Before(until); i++ {
		requests.Go(func() { c.send(i) })
		time.Sleep(interval)
	}
	requests.Wait()
}

// send sends one request and records its outcome.
func (c *knownClient) send(number uint64) requestOutcome {
	outcome := c.request(number)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes = append(c.outcomes, outcome)
	return outcome
}

// request connects, requests one object and reads the response.
func (c *knownClient) request(number uint64) (outcome requestOutcome) {
	outcome.startedAt = time.Now()
	stream := c.connect()
	if stream == nil {
		return outcome
	}
	defer func() { _ = stream.Close() }()
	outcome.connectTime = max(1, time.Since(outcome.startedAt))
	sentAt := time.Now()
	request := ClientRequest{
		ID: fmt.Sprintf("%016x", uint64(time.Now().UnixNano())), Class: classClip,
		Object: site.Object{ID: number%20 + 1}, Group: 1, SizeKB: 30, Timeout: knownClientTimeout,
	}
	_ = stream.SetDeadline(time.Now().Add(responseWait))
	if _, err := stream.Write(request.Frame("1")); err != nil {
		return outcome
	}
	outcome.isWritten = true
	outcome.readResponse(stream, sentAt)
	return outcome
}

// connect tries to connect for connectTimeout. It returns nil if it cannot connect.
func (c *knownClient) connect() net.Conn {
	for startedAt := time.Now(); time.Since(startedAt) < connectTimeout; {
		stream, err := dialFrom(c.localAddress, c.address, connectTimeout-time.Since(startedAt))
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		if c.tls == nil {
			return stream
		}
		secure, err := handshake(stream, c.tls)
		if err != nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		return secure
	}
	return nil
}

// readResponse reads until the connection ends or, once a response has arrived, for secondAnswerWait.
func (o *requestOutcome) readResponse(stream net.Conn, sentAt time.Time) {
	var received []byte
	buffer := make([]byte, 8<<10)
	for {
		n, err := stream.Read(buffer)
		received = append(received, buffer[:n]...)
		text := string(received)
		isComplete := o.status == "" && strings.HasSuffix(text, "\r\n") && len(text) > minResponseBytes
		if isComplete || strings.HasPrefix(text, "-") {
			o.responseTime, o.status = time.Since(sentAt), statusIn(text)
			_ = stream.SetDeadline(time.Now().Add(secondAnswerWait))
		}
		if err != nil {
			if o.status == "" {
				o.loss = fmt.Sprintf("%v after %v with %q", err, time.Since(sentAt).Round(time.Millisecond),
					received[:min(40, len(received))])
			}
			return
		}
	}
}

func statusIn(response string) string {
	switch {
	case strings.Contains(response, "\r\n"+StatusOK+"\r\n"):
		return StatusOK
	case strings.Contains(response, StatusBusy):
		return StatusBusy
	default:
		return StatusFailed
	}
}

// clientSummary counts the outcomes of known clients' requests.
type clientSummary struct {
	requests, connected, served, inTime, rejected, lost int
	slowestConnect                                      time.Duration
	firstLoss                                           string
}

func (s *clientSummary) connectedShare() float64 { return s.share(s.connected) }

func (s *clientSummary) inTimeShare() float64 { return s.share(s.inTime) }

func (s *clientSummary) share(count int) float64 { return float64(count) / float64(max(1, s.requests)) }

// add adds another summary to this one.
func (s *clientSummary) add(other clientSummary) {
	s.requests += other.requests
	s.connected += other.connected
	s.served += other.served
	s.inTime += other.inTime
	s.rejected += other.rejected
	s.lost += other.lost
	s.slowestConnect = max(s.slowestConnect, other.slowestConnect)
	if s.firstLoss == "" {
		s.firstLoss = other.firstLoss
	}
}

// summary returns a summary of the client's requests.
func (c *knownClient) summary() (summary clientSummary) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.outcomes {
		summary.add(c.outcomes[i].summary())
	}
	return summary
}

func (o *requestOutcome) summary() clientSummary {
	summary := clientSummary{requests: 1, slowestConnect: o.connectTime}
	if o.connectTime > 0 {
		summary.connected = 1
	}
	switch {
	case o.status == StatusOK:
		summary.served = 1
		if o.connectTime+o.responseTime <= inTimeLimit {
			summary.inTime = 1
		}
	case o.status == StatusBusy:
		summary.rejected = 1
	case o.isWritten && o.status == "":
		summary.lost, summary.firstLoss = 1, o.loss
	}
	return summary
}
