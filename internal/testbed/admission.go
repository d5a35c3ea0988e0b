package testbed

// This file owns the experiments on admission: floods of connections from loopback addresses of their own, while crews go on
// working.

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// flood opens connections, as fast as the machine allows or at a rate, and holds those that it gets.
type flood struct {
	address string
	from    []string // addresses that it comes from
	keys    *tls.Config
	half    bool // handshakes are begun and never finished
	loop    bool // each connection that it gets asks for one thing after the other: it never rests

	tried, taken, turned, failed atomic.Int64
	mu                           sync.Mutex
	open                         []net.Conn
}

// run opens so many connections, at a rate a second (0: as fast as it can), by so many at once, and returns when the last was
// tried.
func (f *flood) run(n int, rate float64, at int) {
	var wait sync.WaitGroup
	begun := time.Now()
	next := atomic.Int64{}
	for range at {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for {
				i := next.Add(1) - 1
				if int(i) >= n {
					return
				}
				if rate > 0 {
					time.Sleep(time.Until(begun.Add(time.Duration(float64(i) / rate * float64(time.Second)))))
				}
				f.one(f.from[int(i)%len(f.from)])
			}
		}()
	}
	wait.Wait()
}

func (f *flood) one(from string) {
	f.tried.Add(1)
	d := net.Dialer{Timeout: 300 * time.Millisecond, LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}}
	c, err := d.Dial("tcp", f.address)
	if err != nil {
		f.failed.Add(1)
		return
	}
	if f.keys != nil && !f.half {
		t := tls.Client(c, f.keys)
		_ = t.SetDeadline(time.Now().Add(time.Second))
		if err := t.Handshake(); err != nil {
			f.turned.Add(1)
			_ = c.Close()
			return
		}
		c = t
	}
	if f.half {
		_, _ = c.Write([]byte{22, 3, 1, 2}) // the head of a record that never comes
	}
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
	buf := make([]byte, 64)
	n, err := c.Read(buf)
	switch {
	case n > 0 && strings.Contains(string(buf[:n]), "BUSY"):
		f.turned.Add(1)
	case err != nil && !os.IsTimeout(err):
		f.turned.Add(1)
	default:
		f.taken.Add(1)
		f.mu.Lock()
		f.open = append(f.open, c)
		f.mu.Unlock()
		if f.loop {
			go f.ask(c, uint64(f.tried.Load()))
		}
		return
	}
	_ = c.Close()
}

// ask asks for one object that nobody has after the other, four each 40 ms, until the connection ends.
func (f *flood) ask(c net.Conn, id uint64) {
	_ = c.SetReadDeadline(time.Time{})
	go func() {
		buf := make([]byte, 32<<10)
		for {
			if _, err := c.Read(buf); err != nil {
				return
			}
		}
	}()
	for tag := uint64(1); ; tag++ {
		fields := fmt.Sprintf("req=%016x,timeout=3000,subject=%016x,piece=0,lot=1,need=30", uint64(time.Now().UnixNano())^id<<40, id<<20|tag)
		if _, err := c.Write(frame("DO", strconv.FormatUint(tag, 10), "clip", fields, "")); err != nil {
			return
		}
		if tag%4 == 0 {
			time.Sleep(40 * time.Millisecond)
		}
	}
}

func (f *flood) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.open {
		_ = c.Close()
	}
	f.open = nil
}

// crew is a known client that opens a new connection for each view, as a tablet with a poor signal does.
type crew struct {
	address, from string
	keys          *tls.Config

	mu    sync.Mutex
	views []crewView
}

type crewView struct {
	at        time.Time
	connected time.Duration // 0: it did not within a second
	word      string
	took      time.Duration
	answers   int
	why       string
	picked    bool // the connection was taken and the view was written whole
}

func (c *crew) run(every time.Duration, until time.Time) {
	var wait sync.WaitGroup
	for n := 0; time.Now().Before(until); n++ {
		wait.Add(1)
		go func() {
			defer wait.Done()
			v := c.view(uint64(n))
			c.mu.Lock()
			c.views = append(c.views, v)
			c.mu.Unlock()
		}()
		time.Sleep(every)
	}
	wait.Wait()
}

// view connects, trying again for a second, asks for one object and takes what comes.
func (c *crew) view(n uint64) (v crewView) {
	v.at = time.Now()
	var up net.Conn
	for time.Since(v.at) < time.Second {
		d := net.Dialer{Timeout: time.Second - time.Since(v.at), LocalAddr: &net.TCPAddr{IP: net.ParseIP(c.from)}}
		raw, err := d.Dial("tcp", c.address)
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		up = raw
		if c.keys != nil {
			t := tls.Client(raw, c.keys)
			_ = t.SetDeadline(time.Now().Add(time.Second))
			if err := t.Handshake(); err != nil {
				_ = raw.Close()
				up = nil
				time.Sleep(20 * time.Millisecond)
				continue
			}
			up = t
		}
		break
	}
	if up == nil {
		return v
	}
	defer func() { _ = up.Close() }()
	v.connected = max(1, time.Since(v.at))
	asked := time.Now()
	fields := fmt.Sprintf("req=%016x,timeout=2000,subject=%016x,piece=0,lot=1,need=30", uint64(time.Now().UnixNano()), n%20+1)
	_ = up.SetDeadline(time.Now().Add(2200 * time.Millisecond))
	if _, err := up.Write(frame("DO", "1", "clip", fields, "")); err != nil {
		return v
	}
	v.picked = true
	buf := make([]byte, 0, 8<<10)
	part := make([]byte, 8<<10)
	for {
		n, err := up.Read(part)
		buf = append(buf, part[:n]...)
		text := string(buf)
		if v.answers == 0 && strings.HasSuffix(text, "\r\n") && len(text) > 20 || strings.HasPrefix(text, "-") {
			v.took, v.answers = time.Since(asked), 1
			switch {
			case strings.Contains(text, "\r\nOK\r\n"):
				v.word = "OK"
			case strings.Contains(text, "BUSY"):
				v.word = "BUSY"
			default:
				v.word = "FAILED"
			}
			_ = up.SetDeadline(time.Now().Add(20 * time.Millisecond)) // for a second one
		}
		if err != nil {
			if v.answers == 0 {
				v.why = fmt.Sprintf("%v after %v with %q", err, time.Since(asked).Round(time.Millisecond), buf[:min(40, len(buf))])
			}
			return v
		}
	}
}

type crewSeen struct {
	views, connected, served, inTime, turned, lost int
	p99                                            time.Duration
	why                                            string // the first one was lost
}

func (c *crew) seen() (s crewSeen) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, v := range c.views {
		s.views++
		if v.connected > 0 {
			s.connected++
		}
		switch {
		case v.word == "OK":
			s.served++
			if v.connected+v.took <= 410*time.Millisecond {
				s.inTime++
			}
		case v.word == "BUSY":
			s.turned++
		case v.picked && v.answers == 0:
			if s.lost++; s.why == "" {
				s.why = v.why
			}
		}
		s.p99 = max(s.p99, v.connected)
	}
	return s
}

// gate is the operator's file of the experiments: crews are known by their address.
func gate(tlsPart map[string]any) map[string]any {
	f := map[string]any{"admission": map[string]any{"known": []string{"127.0.1.0/24"}, "reserve": 100, "per_address": 32, "new_per_s": 200, "burst": 64, "views_per_address": 32, "views": 64}}
	if tlsPart != nil {
		f["tls"] = tlsPart
	}
	return f
}

// besieged plays one arm: a crew works, a flood comes, and what became of both is told.
func besieged(r *Result, name string, o Options, operator map[string]any, keys *tls.Config, fl func(address string) *flood, n int, rate float64,
	during func(s *Scene),
) (calm, hard crewSeen, f *flood, err error) {
	set := storeSetup(1, false)
	set.SizeKB, set.Objects = 30, 30
	set.Extra = operator
	if keys != nil {
		set.Keys = &tls.Config{RootCAs: keys.RootCAs, ServerName: keys.ServerName} // others show no certificate
	}
	s, err := NewScene(o.Seed, set)
	if err != nil {
		return calm, hard, nil, err
	}
	if err := s.Start(1); err != nil {
		s.End()
		return calm, hard, nil, err
	}
	address := s.Routers[0].Address
	quiet := &crew{address: address, from: "127.0.1.7", keys: keys}
	quiet.run(10*time.Millisecond, time.Now().Add(o.long(1500*time.Millisecond)))
	calm = quiet.seen()
	f = fl(address)
	besiegedCrew := &crew{address: address, from: "127.0.1.7", keys: keys}
	go s.Play(Load{Rate: 50, For: o.long(3 * time.Second)}) // others that were there before
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.run(n, rate, 64)
	}()
	if during != nil {
		go during(s)
	}
	besiegedCrew.run(10*time.Millisecond, time.Now().Add(o.long(3*time.Second)))
	<-done
	time.Sleep(200 * time.Millisecond)
	use := s.Routers[0].Use()
	f.end()
	ended := time.Now()
	normal := -1.0
	for time.Since(ended) < 5*time.Second {
		if v := (&crew{address: address, from: "127.0.2.9", keys: keys}).view(1); v.word == "OK" {
			normal = time.Since(ended).Seconds()
			break
		}
	}
	hard = besiegedCrew.seen()
	for _, v := range besiegedCrew.views {
		if v.word != "OK" {
			o.Say("%s: at %v of the flood %q after %v", name, v.at.Sub(besiegedCrew.views[0].at).Round(time.Millisecond), v.word, v.took.Round(time.Millisecond))
		}
	}
	seen := s.End()
	if operator == nil {
		r.figures(name, seen)
	} else {
		r.rules(name, seen)
	}
	r.Figure(name+" crew connects", float64(hard.connected)/float64(max(1, hard.views)))
	r.Figure(name+" crew due share calm", float64(calm.inTime)/float64(max(1, calm.views)))
	r.Figure(name+" crew due share", float64(hard.inTime)/float64(max(1, hard.views)))
	r.Figure(name+" crew slowest connect ms", float64(hard.p99.Milliseconds()))
	r.Figure(name+" crew turned back", float64(hard.turned)/float64(max(1, hard.views)))
	r.Figure(name+" crew served late", float64(hard.served-hard.inTime)/float64(max(1, hard.views)))
	r.Figure(name+" flood tried", float64(f.tried.Load()))
	r.Figure(name+" flood taken", float64(f.taken.Load()))
	r.Figure(name+" flood turned back", float64(f.turned.Load()))
	r.Figure(name+" s until normal", normal)
	r.Figure(name+" files at the peak", float64(use.Files))
	return calm, hard, f, nil
}

// holds claims what crews must get during a flood.
func holds(r *Result, name string, calm, hard crewSeen) {
	r.Claim(hard.views > 0 && float64(hard.connected) >= 0.99*float64(hard.views), name+": known clients connect within 1 s", "%d of %d", hard.connected, hard.views)
	a, b := float64(calm.inTime)/float64(max(1, calm.views)), float64(hard.inTime)/float64(max(1, hard.views))
	r.Claim(b >= a-0.02, name+": their views keep their due times", "%.3f, calm %.3f", b, a)
	r.Claim(hard.lost == 0, name+": no view of theirs is lost", "%d %s", hard.lost, hard.why)
	r.Claim(r.Figures[name+" s until normal"] >= 0, name+": strangers are served again after it", "%.2f s", r.Figures[name+" s until normal"])
}

func addresses(n int) (list []string) {
	for i := range n {
		list = append(list, fmt.Sprintf("127.%d.%d.%d", 10+i/62500, i/250%250, 1+i%250))
	}
	return list
}

var _ = Register(Experiment{"admission-burst", "one address opens ten thousand connections, at once and at a steady rate", func(o Options, r *Result) error {
	one := func(a string) *flood { return &flood{address: a, from: []string{"127.9.9.9"}, loop: true} }
	n := o.many(10_000)
	calm, hard, _, err := besieged(r, "burst", o, gate(nil), nil, one, n, 0, nil)
	if err != nil {
		return err
	}
	holds(r, "burst", calm, hard)
	if calm, hard, _, err = besieged(r, "steady", o, gate(nil), nil, one, n/4, 1000, nil); err != nil {
		return err
	}
	holds(r, "steady", calm, hard)
	calm, hard, _, err = besieged(r, "no admission", o, nil, nil, one, n, 0, nil)
	if err == nil {
		r.Figure("no admission crew lost", float64(hard.lost))
	}
	return err
}})

var _ = Register(Experiment{"admission-many", "a thousand addresses flood together", func(o Options, r *Result) error {
	many := func(a string) *flood { return &flood{address: a, from: addresses(1000), loop: true} }
	n := o.many(10_000)
	calm, hard, _, err := besieged(r, "many", o, gate(nil), nil, many, n, 0, nil)
	if err != nil {
		return err
	}
	holds(r, "many", calm, hard)
	_, _, _, err = besieged(r, "no admission", o, nil, nil, many, n, 0, nil)
	return err
}})

var _ = Register(Experiment{"admission-descriptors", "descriptors run out while answers are owed", func(o Options, r *Result) error {
	many := func(a string) *flood { return &flood{address: a, from: addresses(1000), loop: true} }
	calm, hard, _, err := besieged(r, "reached", o, gate(nil), nil, many, o.many(4000), 0, func(s *Scene) {
		// The system gives fewer than the router was told at its start, which it finds out with the flood.
		s.try(unix.Prlimit(s.Routers[0].cmd.Process.Pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: 300, Max: 20_000}, nil))
	})
	if err != nil {
		return err
	}
	holds(r, "reached", calm, hard)
	tight.Store(200) // fewer from the start than the configuration says
	defer tight.Store(0)
	if calm, hard, _, err = besieged(r, "few", o, gate(nil), nil, many, o.many(4000), 0, nil); err != nil {
		return err
	}
	holds(r, "few", calm, hard)
	return nil
}})

// tight is the bound on descriptors that routers are started with, 0: the system's.
var tight atomic.Int64

var _ = Register(Experiment{"admission-handshakes", "half handshakes by the thousand; and keys read again meanwhile", func(o Options, r *Result) error {
	k, err := newKeys("crew")
	if err != nil {
		return err
	}
	defer k.close()
	keys, part := k.client("crew"), k.part()
	half := func(a string) *flood { return &flood{address: a, from: addresses(200), half: true} }
	calm, hard, _, err := besieged(r, "half", o, gate(part), keys, half, o.many(4000), 1500, func(s *Scene) {
		time.Sleep(300 * time.Millisecond)
		s.Routers[0].Signal(syscall.SIGHUP) // keys are read again meanwhile
	})
	if err != nil {
		return err
	}
	holds(r, "half", calm, hard)
	return nil
}})

// keyring is a development authority and pairs, as the program itself makes them.
type keyring struct {
	folder string
	pool   *x509.CertPool
	pairs  map[string]tls.Certificate
}

func newKeys(names ...string) (*keyring, error) {
	program, err := Program()
	if err != nil {
		return nil, err
	}
	k := &keyring{pool: x509.NewCertPool(), pairs: map[string]tls.Certificate{}}
	if k.folder, err = os.MkdirTemp("", "testbed-keys"); err != nil {
		return nil, err
	}
	args := []string{"keys", k.folder}
	for _, n := range names {
		args = append(args, "--clients", n)
	}
	if out, err := exec.Command(program, args...).CombinedOutput(); err != nil {
		return nil, fmt.Errorf("%w: %s", err, out)
	}
	pem, err := os.ReadFile(filepath.Join(k.folder, "ca.crt"))
	if err != nil {
		return nil, err
	}
	k.pool.AppendCertsFromPEM(pem)
	for _, n := range names {
		if k.pairs[n], err = tls.LoadX509KeyPair(filepath.Join(k.folder, n+".crt"), filepath.Join(k.folder, n+".key")); err != nil {
			return nil, err
		}
	}
	return k, nil
}

func (k *keyring) close() { _ = os.RemoveAll(k.folder) }

func (k *keyring) client(name string) *tls.Config {
	return &tls.Config{RootCAs: k.pool, ServerName: "localhost", Certificates: []tls.Certificate{k.pairs[name]}}
}

// part is the operator's part for a router with these keys.
func (k *keyring) part() map[string]any {
	return map[string]any{
		"cert_file": filepath.Join(k.folder, "server.crt"), "key_file": filepath.Join(k.folder, "server.key"),
		"client_ca_file": filepath.Join(k.folder, "ca.crt"), "client": "optional",
	}
}

var _ = Register(Experiment{"admission-shared", "behind one address, one bad and fifty good clients are told apart by certificate", func(o Options, r *Result) error {
	names := []string{"bad"}
	for i := range 50 {
		names = append(names, fmt.Sprintf("good-%d", i))
	}
	k, err := newKeys(names...)
	if err != nil {
		return err
	}
	defer k.close()
	set := storeSetup(1, false)
	set.SizeKB, set.Objects, set.Extra = 30, 30, gate(k.part())
	bounds := set.Extra["admission"].(map[string]any) // of an address that many share
	bounds["per_address"], bounds["new_per_s"], bounds["burst"], bounds["handshake_cores"] = 64, 500, 250, 0.6
	set.Keys = &tls.Config{RootCAs: k.pool, ServerName: "localhost"}
	s, err := NewScene(o.Seed, set)
	if err != nil {
		return err
	}
	if err := s.Start(1); err != nil {
		s.End()
		return err
	}
	const shared = "127.0.3.3"
	good := func(until time.Duration) (sum crewSeen) {
		var wait sync.WaitGroup
		var mu sync.Mutex
		end := time.Now().Add(until)
		for i := range 50 {
			c := &crew{address: s.Routers[0].Address, from: shared, keys: k.client(fmt.Sprintf("good-%d", i))}
			wait.Add(1)
			go func() {
				defer wait.Done()
				time.Sleep(time.Duration(i) * 10 * time.Millisecond)
				c.run(500*time.Millisecond, end)
				n := c.seen()
				mu.Lock()
				defer mu.Unlock()
				sum.views, sum.connected, sum.inTime, sum.lost = sum.views+n.views, sum.connected+n.connected, sum.inTime+n.inTime, sum.lost+n.lost
				if n.why != "" {
					sum.why = n.why
				}
			}()
		}
		wait.Wait()
		return sum
	}
	go s.Play(Load{Rate: 30, For: o.long(6 * time.Second)})
	calm := good(o.long(2500 * time.Millisecond))
	f := &flood{address: s.Routers[0].Address, from: []string{shared}, keys: k.client("bad"), loop: true}
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.run(o.many(600), 200, 16)
	}()
	hard := good(o.long(3 * time.Second))
	<-done
	f.end()
	seen := s.End()
	r.rules("shared", seen)
	r.Figure("shared flood taken", float64(f.taken.Load()))
	r.Figure("shared flood tried", float64(f.tried.Load()))
	r.Figure("shared s until normal", 0)
	holds(r, "shared", calm, hard)
	return nil
}})

var _ = Register(Experiment{"admission-restart", "known clients that return all at once after a restart, among a flood", func(o Options, r *Result) error {
	back := func(name string, n int) (in, answered, served int, err error) {
		set := storeSetup(1, false)
		set.SizeKB, set.Objects, set.Extra = 30, 30, gate(nil)
		s, err := NewScene(o.Seed, set)
		if err != nil {
			return 0, 0, 0, err
		}
		if err := s.Start(1); err != nil {
			s.End()
			return 0, 0, 0, err
		}
		address := s.Routers[0].Address
		f := &flood{address: address, from: addresses(500), loop: true}
		done := make(chan struct{})
		go func() {
			defer close(done)
			f.run(n, 2500, 64)
		}()
		go s.Play(Load{Rate: 20, For: o.long(3 * time.Second)})
		time.Sleep(500 * time.Millisecond)
		s.Kill(0)
		s.again(0)
		begun := time.Now()
		var crews []*crew
		var wait sync.WaitGroup
		for i := range 60 {
			c := &crew{address: address, from: fmt.Sprintf("127.0.1.%d", i+1)}
			crews = append(crews, c)
			wait.Add(1)
			go func() {
				defer wait.Done()
				for range 5 { // a tablet that is turned back comes again
					v := c.view(uint64(i))
					c.mu.Lock()
					c.views = append(c.views, v)
					c.mu.Unlock()
					if v.word == "OK" {
						return
					}
					time.Sleep(150 * time.Millisecond)
				}
			}()
		}
		wait.Wait()
		r.Figure(name+" until the last crew is served s", time.Since(begun).Seconds())
		for _, c := range crews {
			k := c.seen()
			if k.connected == k.views {
				in++
			}
			if k.lost == 0 {
				answered++
			}
			served += k.served
		}
		<-done
		// A reload and an end while it goes on.
		s.Routers[0].Signal(syscall.SIGHUP)
		time.Sleep(100 * time.Millisecond)
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			f.run(n/8, 2500, 16)
		}()
		seen := s.End()
		<-stopped
		f.end()
		r.rules(name, seen)
		return in, answered, served, nil
	}
	_, _, calm, err := back("calm", 0)
	if err != nil {
		return err
	}
	in, answered, served, err := back("flood", o.many(8000))
	if err != nil {
		return err
	}
	r.Claim(in == 60 && answered == 60, "all crews are back within a second, and each view has its answer", "%d connected, %d answered of 60", in, answered)
	r.Claim(served >= calm-2, "as many are served as without a flood", "%d of 60, calm %d", served, calm)
	return nil
}})
