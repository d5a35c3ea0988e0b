// Package operatorconfig reads the operator's own file: what an installation has beyond the platform. It checks the
// file and says where a mistake is; defaults for what is absent are up to the packages that use it.
package operatorconfig

import (
	"crypto/tls"
	"reflect"
	"slices"
	"time"
)

// The keys of the operator's file are in the tags of these types. A comment has our term where a key has another.

// File is what the operator's file says.
type File struct {
	Stores    []Store      `json:"stores"`
	Shared    Shared       `json:"shared"`
	Admission *Admission   `json:"admission"` // nil: no limits
	TLS       *FrontendTLS `json:"tls"`       // nil: clients connect without TLS
}

// Admission is the limits on clients' connections and requests. What is absent is not limited, or has a default.
type Admission struct {
	Known              []string `json:"known"`   // addresses and networks of known clients
	Reserve            int      `json:"reserve"` // connections for known clients alone
	PerAddress         int      `json:"per_address"`
	NewPerSecond       float64  `json:"new_per_s"`
	Burst              int      `json:"burst"`             // of new connections
	RequestsPerAddress int      `json:"views_per_address"` // requests in flight of one address
	Requests           int      `json:"views"`             // requests in flight of all addresses
	Handshakes         int      `json:"handshakes"`
	HandshakeCPU       float64  `json:"handshake_cores"`
	Remember           int      `json:"remember"` // addresses that are remembered without a connection
}

// FrontendTLS is the TLS of clients' connections.
type FrontendTLS struct {
	CertFile     string `json:"cert_file"`
	KeyFile      string `json:"key_file"`
	ClientCAFile string `json:"client_ca_file"`
	Client       string `json:"client"` // whether clients need a certificate: "optional" or "required"
	MinVersion   string `json:"min_version"`
}

// Store is one shared store.
type Store struct {
	UID          string   `json:"uid"`
	Addresses    []string `json:"addresses"`
	Listed       bool     `json:"listed"` // the endpoint list has it
	Weight       float64  `json:"weight"`
	Prefix       string   `json:"prefix"` // of its keys
	User         string   `json:"user"`
	PasswordFile string   `json:"password_file"`
	Database     int      `json:"database"`
	TLS          *TLS     `json:"tls"` // nil: connections are plain

	Password string      `json:"-"` // the content of the password file
	Secure   *tls.Config `json:"-"` // what TLS says, with the files read
}

// TLS is how connections to a store are secured.
type TLS struct {
	CAFile     string `json:"ca_file"`
	ServerName string `json:"server_name"`
	CertFile   string `json:"cert_file"`
	KeyFile    string `json:"key_file"`
}

// Shared is what holds for all stores.
type Shared struct {
	Capacity       float64 `json:"capacity_per_s"` // commands
	SlowStartShare float64 `json:"cold_share"`
	SlowStartMS    float64 `json:"cold_ms"`
	OverloadFactor float64 `json:"multiple"`
	Routers        int     `json:"routers"`
	MaxInFlight    int     `json:"most_out"`
	KeepMS         float64 `json:"keep_ms"` // longest TTL
	Lease          *bool   `json:"lease"`   // nil: true
}

// Milliseconds is a number of milliseconds as a duration.
func Milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// ImmutableChange names the part in which two files differ that cannot change while the router runs, or nothing.
func (f *File) ImmutableChange(changed *File) string {
	switch {
	case !slices.EqualFunc(f.Stores, changed.Stores, isSameStore):
		return "stores"
	case f.Shared.KeepMS != changed.Shared.KeepMS:
		return "shared.keep_ms"
	case (f.TLS == nil) != (changed.TLS == nil):
		return "tls"
	}
	return ""
}

// isSameStore compares what two files say of a store, but not the content of its TLS files.
func isSameStore(first, second Store) bool {
	first.Secure, second.Secure = nil, nil
	return reflect.DeepEqual(first, second)
}
