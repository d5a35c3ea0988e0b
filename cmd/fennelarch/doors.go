package main

// This file owns the place of admission and keys in a router: what the operator's file says of them, at the start and when
// it is read again.

import (
	"crypto/tls"
	"fmt"
	"net/netip"

	"fennelarch/internal/config"
	"fennelarch/internal/frontend"
	"fennelarch/internal/operatorconfig"
	"fennelarch/policy/admission"

	"go.uber.org/zap"
)

// admits is what the operator's file says of connections, for the decisions.
func admits(own *operatorconfig.File, c *config.Config) (admission.Settings, error) {
	a := own.Admission
	if a == nil {
		return admission.Settings{SendRetryAfter: c.Routing.RetryAfter, MaxRetryAfter: c.Routing.MaxRetryAfter}, nil
	}
	known, err := peers(a.Known)
	if err != nil {
		return admission.Settings{}, err
	}
	set := admission.Settings{
		Reserve: a.Reserve, ConnectionsPerPeer: a.PerAddress, NewPerPeerPerSecond: a.NewPerSecond, Burst: a.Burst, RequestsPerPeer: a.RequestsPerAddress,
		MaxRequests: a.Requests, MaxHandshakes: a.Handshakes, HandshakeCPU: a.HandshakeCPU, MaxRememberedPeers: a.Remember, SendRetryAfter: c.Routing.RetryAfter,
		MaxRetryAfter: c.Routing.MaxRetryAfter, IsKnown: known,
	}
	return set.WithDefaults(), nil
}

// peers reads the operator's list of addresses and networks.
func peers(list []string) (func(admission.Peer) bool, error) {
	var known []netip.Prefix
	for i, text := range list {
		p, err := netip.ParsePrefix(text)
		if err != nil {
			a, bad := netip.ParseAddr(text)
			if bad != nil {
				return nil, fmt.Errorf("operator's file: admission.known.%d: %q is neither an address nor a network", i, text)
			}
			p = netip.PrefixFrom(a, a.BitLen())
		}
		known = append(known, p.Masked())
	}
	return func(p admission.Peer) bool {
		a := netip.AddrFrom16(p).Unmap()
		for _, k := range known {
			if k.Contains(a) || k.Addr().Is6() && k.Bits() >= 64 && admission.Address(k.Addr().As16()) == p {
				return true
			}
		}
		return false
	}, nil
}

func files(t *operatorconfig.FrontendTLS) frontend.TLSFiles {
	f := frontend.TLSFiles{Cert: t.CertFile, Key: t.KeyFile, ClientCA: t.ClientCAFile, ClientCertRequired: t.Client == "required"}
	if t.MinVersion == "1.3" {
		f.MinVersion = tls.VersionTLS13
	}
	return f
}

func newDoors(own *operatorconfig.File, c *config.Config) (d frontend.Options, err error) {
	d.FlowKBPerSecond = c.Routing.FlowKBPerSecond
	if d.Admission, err = admits(own, c); err != nil {
		return d, err
	}
	if own.TLS != nil {
		d.Keys, err = frontend.LoadTLSKeys(files(own.TLS))
		if err != nil {
			err = fmt.Errorf("operator's file: tls: %w", err)
		}
	}
	return d, err
}

// reloadOwn reads the operator's file again and returns the one in force.
func reloadOwn(path string, own *operatorconfig.File, c *config.Config, st stores, server *frontend.Server, d frontend.Options) (*operatorconfig.File, error) {
	to, err := operatorconfig.Load(path)
	if err != nil {
		return own, err
	}
	if part := own.ImmutableChange(to); part != "" {
		return own, fmt.Errorf("cannot_change while the router runs: %s", part)
	}
	set, err := admits(to, c)
	if err != nil {
		return own, err
	}
	if to.TLS != nil {
		if err := d.Keys.Load(files(to.TLS)); err != nil {
			return own, err
		}
	}
	server.UpdateAdmission(set)
	st.reload(to, c)
	return to, nil
}

// doorsSummary tells of connections where the operator's file has anything about them, or where something was turned back.
func doorsSummary(own *operatorconfig.File, s *frontend.Server, log *zap.Logger) {
	n, mode := s.AdmissionStatus()
	if own.Admission == nil && n.Exhausted == 0 {
		return
	}
	log.Info("admission", zap.String("mode", mode), zap.Uint64("taken", n.Accepted), zap.Uint64("refused", n.Rejected),
		zap.Uint64("dropped", n.Dropped), zap.Uint64("ended", n.ClosedIdle), zap.Uint64("views_refused", n.RequestsRejected),
		zap.Uint64("exhausted", n.Exhausted), zap.Uint64("handshakes", n.Handshakes))
}
