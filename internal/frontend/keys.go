package frontend

// This file owns the keys of a front that speaks TLS: read from files, read again without dropping a connection, and never
// told to a log.

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

// TLSFiles name what a front needs for TLS.
type TLSFiles struct {
	Cert, Key          string
	ClientCA           string // authority of known clients, none: no certificate is asked for
	ClientCertRequired bool   // a client must show one
	MinVersion         uint16 // the lowest version of TLS
}

// TLSKeys are the keys in force.
type TLSKeys struct {
	now  atomic.Pointer[tls.Config]
	told atomic.Int64 // the second of the process in which a failed handshake was last logged
}

var processBegan = time.Now()

// LoadTLSKeys reads keys from files.
func LoadTLSKeys(f TLSFiles) (*TLSKeys, error) {
	k := &TLSKeys{}
	return k, k.Load(f)
}

// Load reads them again. A pair that cannot be used leaves the old one in force.
func (k *TLSKeys) Load(f TLSFiles) error {
	pair, err := system.LoadKeyPair(f.Cert, f.Key)
	if err != nil {
		return fmt.Errorf("certificate %s: %w", f.Cert, err)
	}
	if leaf, err := x509.ParseCertificate(pair.Certificate[0]); err != nil || system.WallClock().After(leaf.NotAfter) {
		return fmt.Errorf("certificate %s: %w", f.Cert, errors.Join(err, errExpired))
	}
	c := &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: max(tls.VersionTLS12, f.MinVersion)}
	if f.ClientCA != "" {
		pem, err := system.ReadFile(f.ClientCA)
		if err != nil {
			return err
		}
		c.ClientCAs = x509.NewCertPool()
		if !c.ClientCAs.AppendCertsFromPEM(pem) {
			return fmt.Errorf("%s holds no certificate", f.ClientCA)
		}
		c.ClientAuth = tls.VerifyClientCertIfGiven
		if f.ClientCertRequired {
			c.ClientAuth = tls.RequireAndVerifyClientCert
		}
	}
	k.now.Store(c)
	return nil
}

var errExpired = errors.New("it has expired")

func (k *TLSKeys) server(up net.Conn) *tls.Conn { return tls.Server(up, k.now.Load()) }

// shake does the handshake and returns the peer of the certificate that was shown, if any.
func (k *TLSKeys) shake(up net.Conn, within time.Duration) (p admission.Peer, err error) {
	t := up.(*tls.Conn)
	ctx, end := context.WithTimeout(context.Background(), within)
	defer end()
	if err := t.HandshakeContext(ctx); err != nil {
		return p, err
	}
	if shown := t.ConnectionState().PeerCertificates; len(shown) > 0 {
		p = admission.Certificate(sha256.Sum256(shown[0].RawSubjectPublicKeyInfo))
	}
	return p, nil
}

// cost is what a handshake that took so long is taken to have cost: most of a long one is waiting, and one that failed
// mostly never came to a signature.
func (k *TLSKeys) cost(took time.Duration, err error) time.Duration {
	if err != nil {
		return min(took, 100*time.Microsecond)
	}
	return min(took, time.Millisecond)
}

// complain logs a failed handshake, but not one after the other.
func (k *TLSKeys) complain(log *zap.Logger, err error) {
	now := int64(time.Since(processBegan)/time.Second) + 1 // a wall clock that is set back would silence it
	if last := k.told.Load(); now > last && k.told.CompareAndSwap(last, now) {
		log.Info("handshake failed", zap.Error(err))
	}
}
