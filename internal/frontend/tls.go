package frontend

import (
	"context"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"fennelarch/internal/system"
	"fennelarch/policy/admission"

	"go.uber.org/zap"
)

// TLSFiles names the files that a front end needs for TLS.
type TLSFiles struct {
	Cert, Key          string
	ClientCA           string // CA of the certificates that identify known clients; if empty, none are requested
	ClientCertRequired bool   // clients must present a certificate
	MinVersion         uint16 // minimum TLS version
}

// TLSKeys holds the current TLS keys, which are never logged.
type TLSKeys struct {
	current          atomic.Pointer[tls.Config]
	lastLoggedSecond atomic.Int64 // second in which a failed handshake was last logged, 1 at processStart; 0: never
}

var processStart = time.Now()

const (
	maxHandshakeCost       = time.Millisecond
	maxFailedHandshakeCost = 100 * time.Microsecond
)

var errCertificateExpired = errors.New("it has expired")

// LoadTLSKeys loads TLS keys from files.
func LoadTLSKeys(f TLSFiles) (*TLSKeys, error) {
	k := &TLSKeys{}
	return k, k.Load(f)
}

// Load replaces the keys by those in the files; open connections are not affected. After an error the old keys stay in
// use.
func (k *TLSKeys) Load(f TLSFiles) error {
	pair, err := system.LoadKeyPair(f.Cert, f.Key)
	if err != nil {
		return fmt.Errorf("certificate %s: %w", f.Cert, err)
	}
	leaf, err := x509.ParseCertificate(pair.Certificate[0])
	if err != nil {
		return fmt.Errorf("certificate %s: %w", f.Cert, err)
	}
	if system.WallClock().After(leaf.NotAfter) {
		return fmt.Errorf("certificate %s: %w", f.Cert, errCertificateExpired)
	}
	config := &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: max(tls.VersionTLS12, f.MinVersion)}
	if f.ClientCA != "" {
		pem, err := system.ReadFile(f.ClientCA)
		if err != nil {
			return err
		}
		config.ClientCAs = x509.NewCertPool()
		if !config.ClientCAs.AppendCertsFromPEM(pem) {
			return fmt.Errorf("client CA %s holds no certificate", f.ClientCA)
		}
		config.ClientAuth = tls.VerifyClientCertIfGiven
		if f.ClientCertRequired {
			config.ClientAuth = tls.RequireAndVerifyClientCert
		}
	}
	k.current.Store(config)
	return nil
}

// serverConn returns the TLS server side of a connection, with the current keys.
func (k *TLSKeys) serverConn(raw net.Conn) *tls.Conn { return tls.Server(raw, k.current.Load()) }

// handshake performs the TLS handshake and returns the peer of the client certificate, or the zero Peer if there is
// none.
func (k *TLSKeys) handshake(conn *tls.Conn, timeout time.Duration) (peer admission.Peer, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if err := conn.HandshakeContext(ctx); err != nil {
		return peer, err
	}
	if certificates := conn.ConnectionState().PeerCertificates; len(certificates) > 0 {
		peer = admission.Certificate(sha256.Sum256(certificates[0].RawSubjectPublicKeyInfo))
	}
	return peer, nil
}

// handshakeCost estimates the CPU time of a handshake. The cost is capped, because most of a long handshake is waiting,
// and most failed handshakes end before the signature.
func handshakeCost(elapsed time.Duration, err error) time.Duration {
	if err != nil {
		return min(elapsed, maxFailedHandshakeCost)
	}
	return min(elapsed, maxHandshakeCost)
}

// logFailure logs a failed handshake, at most once a second.
func (k *TLSKeys) logFailure(log *zap.Logger, err error) {
	second := int64(time.Since(processStart)/time.Second) + 1 // monotonic: the wall clock may be set back
	if last := k.lastLoggedSecond.Load(); second > last && k.lastLoggedSecond.CompareAndSwap(last, second) {
		log.Info("handshake failed", zap.Error(err))
	}
}

// handshake performs the TLS handshake, if the connection uses TLS, and reports its end and the peer of the client
// certificate to the admission policy.
func (c *connection) handshake() (succeeded bool) {
	keys := c.server.tlsKeys
	tlsConn, isTLS := c.Conn.(*tls.Conn)
	if keys == nil || !isTLS {
		return true
	}
	start := time.Now()
	peer, err := keys.handshake(tlsConn, c.server.shared.limits.MessageTimeout)
	c.server.handleAdmissionEvent(admission.Event{
		Kind: admission.EventHandshakeDone, Conn: c.id, Peer: peer, Elapsed: handshakeCost(time.Since(start), err),
	})
	if err != nil {
		keys.logFailure(c.server.log, err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.session.transition(signalClose)
		return false
	}
	c.session.transition(signalHandshakeDone)
	return true
}
