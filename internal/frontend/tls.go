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

// TLSFiles are the files that a front end needs for TLS.
type TLSFiles struct {
	Cert, Key          string
	ClientCA           string // authority of known clients; empty: no certificate is asked for
	ClientCertRequired bool   // a client must show one
	MinVersion         uint16 // the lowest version of TLS
}

// TLSKeys are the keys in force. They are never logged.
type TLSKeys struct {
	current      atomic.Pointer[tls.Config]
	loggedSecond atomic.Int64 // the second of the process in which a failed handshake was last logged
}

var processStart = time.Now()

const (
	maxHandshakeCost       = time.Millisecond
	maxFailedHandshakeCost = 100 * time.Microsecond
)

var errCertificateExpired = errors.New("it has expired")

// LoadTLSKeys reads keys from files.
func LoadTLSKeys(f TLSFiles) (*TLSKeys, error) {
	k := &TLSKeys{}
	return k, k.Load(f)
}

// Load reads them again; connections that are open stay. A pair that cannot be used leaves the old one in force.
func (k *TLSKeys) Load(f TLSFiles) error {
	pair, err := system.LoadKeyPair(f.Cert, f.Key)
	if err != nil {
		return fmt.Errorf("certificate %s: %w", f.Cert, err)
	}
	if leaf, err := x509.ParseCertificate(pair.Certificate[0]); err != nil || system.WallClock().After(leaf.NotAfter) {
		return fmt.Errorf("certificate %s: %w", f.Cert, errors.Join(err, errCertificateExpired))
	}
	config := &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: max(tls.VersionTLS12, f.MinVersion)}
	if f.ClientCA != "" {
		pem, err := system.ReadFile(f.ClientCA)
		if err != nil {
			return err
		}
		config.ClientCAs = x509.NewCertPool()
		if !config.ClientCAs.AppendCertsFromPEM(pem) {
			return fmt.Errorf("%s holds no certificate", f.ClientCA)
		}
		config.ClientAuth = tls.VerifyClientCertIfGiven
		if f.ClientCertRequired {
			config.ClientAuth = tls.RequireAndVerifyClientCert
		}
	}
	k.current.Store(config)
	return nil
}

// serverConn wraps a connection with the keys in force.
func (k *TLSKeys) serverConn(raw net.Conn) *tls.Conn { return tls.Server(raw, k.current.Load()) }

// handshake does the TLS handshake in time and returns the peer of the certificate that was shown, if any.
func (k *TLSKeys) handshake(conn *tls.Conn, timeout time.Duration) (peer admission.Peer, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if err := conn.HandshakeContext(ctx); err != nil {
		return peer, err
	}
	if shown := conn.ConnectionState().PeerCertificates; len(shown) > 0 {
		peer = admission.Certificate(sha256.Sum256(shown[0].RawSubjectPublicKeyInfo))
	}
	return peer, nil
}

// handshakeCost is the CPU time that a handshake is taken to have cost: most of a long one is waiting, and one that
// failed mostly never came to a signature.
func handshakeCost(elapsed time.Duration, err error) time.Duration {
	if err != nil {
		return min(elapsed, maxFailedHandshakeCost)
	}
	return min(elapsed, maxHandshakeCost)
}

// logFailure logs a failed handshake, but at most one a second.
func (k *TLSKeys) logFailure(log *zap.Logger, err error) {
	second := int64(time.Since(processStart)/time.Second) + 1 // a wall clock that is set back would silence it
	if last := k.loggedSecond.Load(); second > last && k.loggedSecond.CompareAndSwap(last, second) {
		log.Info("handshake failed", zap.Error(err))
	}
}

// handshake finishes the TLS handshake, if there is one, and tells the admission policy whose certificate was shown.
func (c *connection) handshake() (succeeded bool) {
	keys := c.server.tlsKeys
	tlsConn, isTLS := c.Conn.(*tls.Conn)
	if keys == nil || !isTLS {
		return true
	}
	begun := time.Now()
	peer, err := keys.handshake(tlsConn, c.server.shared.limits.MessageTimeout)
	c.server.handleAdmissionEvent(admission.Event{
		Kind: admission.EventHandshakeDone, Conn: c.id, Peer: peer, Elapsed: handshakeCost(time.Since(begun), err),
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
