package sharedstore

// This file owns the connection to one store: the goroutines that dial, read and write it, one address after the other,
// and its ledger's beat. It must never decide anything: what came goes to the carrier.

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"fennelarch/internal/system"
	"fennelarch/policy/routing"

	decide "fennelarch/policy/sharedstore"
)

// server is one store as this router speaks to it.
type server struct {
	carrier *Transport
	id      routing.EndpointID
	conf    Store
	keys    keys

	mu    sync.Mutex
	link  *link    // nothing while there is no connection
	up    net.Conn // the same
	wake  chan struct{}
	addrs []string

	// Under the carrier's lock.
	reading    bool // the ledger is being read or written
	lost       bool // the last attempt to connect failed, or the connection ended
	taken      []decide.Invalidation
	complained time.Time // when its answers were last logged
}

// send puts a command on the connection, and says whether there is one.
func (s *server) send(c command) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.link == nil {
		return false
	}
	s.link.send(c)
	s.stir()
	return true
}

func (s *server) stir() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// at makes it use another address.
func (s *server) at(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conf.Addresses) > 0 || address == "" || slices.Equal(s.addrs, []string{address}) {
		return
	}
	s.addrs = []string{address}
	if s.up != nil {
		_ = s.up.Close()
	}
}

// run keeps one connection up until the context ends.
func (s *server) run(ctx context.Context) {
	l := &s.carrier.limits
	wait := l.BackoffMin
	for i := 0; ctx.Err() == nil; i++ {
		s.mu.Lock()
		addrs := s.addrs
		s.mu.Unlock()
		begun := time.Now()
		if len(addrs) > 0 {
			if err := s.stay(ctx, addrs[i%len(addrs)]); err != nil {
				s.carrier.down(s, err)
			}
		}
		if time.Since(begun) > l.BackoffMax {
			wait = l.BackoffMin
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait/2 + rand.N(wait)):
		}
		wait = min(2*wait, l.BackoffMax)
	}
}

func (s *server) dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, end := context.WithTimeout(ctx, s.carrier.limits.ConnectTimeout)
	defer end()
	up, err := system.DialContext(ctx, "tcp", address)
	if err != nil || s.conf.TLS == nil {
		return up, err
	}
	t := tls.Client(up, s.conf.TLS)
	if err := t.HandshakeContext(ctx); err != nil {
		_ = up.Close()
		return nil, err
	}
	return t, nil
}

// stay dials an address and serves the connection until it ends.
func (s *server) stay(ctx context.Context, address string) error {
	up, err := s.dial(ctx, address)
	if err != nil {
		return err
	}
	l := &s.carrier.limits
	k := newLink(l, s.conf.Login, time.Now())
	s.mu.Lock()
	s.link, s.up = k, up
	s.mu.Unlock()
	ended := make(chan error, 1)
	go func() { ended <- s.read(up, k) }()
	err = s.write(ctx, up, k, ended)
	_ = up.Close()
	s.mu.Lock()
	s.link, s.up = nil, nil
	k.over(time.Now())
	ends := k.take()
	s.mu.Unlock()
	s.carrier.took(s, ends)
	return err
}

func (s *server) write(ctx context.Context, up net.Conn, k *link, ended chan error) error {
	l := &s.carrier.limits
	look := time.NewTicker(l.PollTimeout / 8)
	defer look.Stop()
	beat := time.NewTimer(rand.N(decide.LogSyncInterval))
	defer beat.Stop()
	for {
		now := time.Now()
		s.mu.Lock()
		out, silent := k.outgoing(now), k.silent(now, l.StoreSilenceTimeout)
		s.mu.Unlock()
		switch {
		case silent:
			return errSilent
		case len(out) > 0:
			_ = up.SetWriteDeadline(now.Add(l.WriteStallTimeout))
			n, err := up.Write(out)
			s.mu.Lock()
			k.out.Wrote(n)
			s.mu.Unlock()
			if err != nil {
				return err
			}
			continue
		}
		select {
		case <-s.wake:
		case <-look.C:
		case <-beat.C:
			beat.Reset(decide.LogSyncInterval*3/4 + rand.N(decide.LogSyncInterval/2))
			s.beat()
		case err := <-ended:
			return err
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (s *server) read(up net.Conn, k *link) error {
	for {
		s.mu.Lock()
		space := k.space()
		s.mu.Unlock()
		n, err := up.Read(space)
		s.mu.Lock()
		bad := k.got(n, time.Now())
		ends := k.take()
		s.mu.Unlock()
		s.carrier.took(s, ends)
		if bad != nil {
			return bad
		}
		if err != nil {
			return err
		}
	}
}

// beat begins to read the ledger's interval, if it is not being read or written already.
func (s *server) beat() {
	s.carrier.mu.Lock()
	defer s.carrier.mu.Unlock()
	if !s.reading && !s.lost {
		s.reading = s.send(command{
			verb: verbInterval,
			args: [][]byte{[]byte("ZMSCORE"), s.keys.ledger(), []byte(memberSeen), []byte(memberFloor)},
		})
	}
}
