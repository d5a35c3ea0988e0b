// Package operatorconfig reads the operator's file, which configures what an installation adds to the platform: shared
// stores, admission limits and TLS. It validates the file and reports the location of a mistake. The packages that use
// the file provide the defaults of absent settings.
package operatorconfig

import (
	"crypto/tls"
	"reflect"
	"slices"
	"time"
)

// The struct tags of these types define the keys of the operator's file.

// File holds the settings of the operator's file.
type File struct {
	Stores    []Store      `json:"stores"`
	Shared    Shared       `json:"shared"`
	Admission *Admission   `json:"admission"` // nil: no limits
	TLS       *FrontendTLS `json:"tls"`       // nil: clients connect without TLS
}

// Admission holds the limits on the connections and requests of clients. An absent limit has a default or does not
// apply.
type Admission struct {
	KnownClients            []string `json:"known"`             // addresses and networks of known clients
	ReservedConnections     int      `json:"reserve"`           // connections reserved for known clients
	ConnectionsPerAddress   int      `json:"per_address"`       // connections of one address
	NewConnectionsPerSecond float64  `json:"new_per_s"`         // new connections of one address per second
	Burst                   int      `json:"burst"`             // new connections of one address at once
	RequestsPerAddress      int      `json:"views_per_address"` // requests in flight of one address
	Requests                int      `json:"views"`             // requests in flight of known clients, and of others
	MaxHandshakes           int      `json:"handshakes"`        // concurrent TLS handshakes
	HandshakeCPU            float64  `json:"handshake_cores"`   // CPU cores that TLS handshakes may use
	MaxRemembered           int      `json:"remember"`          // addresses without a connection that are remembered
}

// FrontendTLS configures TLS for client connections.
type FrontendTLS struct {
	CertFile     string `json:"cert_file"`
	KeyFile      string `json:"key_file"`
	ClientCAFile string `json:"client_ca_file"`
	Client       string `json:"client"` // whether clients need a certificate: "optional" or "required"
	MinVersion   string `json:"min_version"`
}

// Store configures one shared store.
type Store struct {
	UID          string   `json:"uid"`
	Addresses    []string `json:"addresses"`
	Listed       bool     `json:"listed"` // the endpoint list contains the store
	Weight       float64  `json:"weight"`
	Prefix       string   `json:"prefix"` // prefix of all keys in the store
	User         string   `json:"user"`
	PasswordFile string   `json:"password_file"`
	Database     int      `json:"database"`
	TLS          *TLS     `json:"tls"` // nil: connections without TLS

	Password  string      `json:"-"` // content of the password file, without surrounding white space
	TLSConfig *tls.Config `json:"-"` // configuration that TLS describes, with its files loaded
}

// TLS configures TLS for connections to a store.
type TLS struct {
	CAFile     string `json:"ca_file"`
	ServerName string `json:"server_name"`
	CertFile   string `json:"cert_file"`
	KeyFile    string `json:"key_file"`
}

// Shared holds the settings that apply to all stores.
type Shared struct {
	Capacity       float64 `json:"capacity_per_s"` // commands per second that a warm store can handle; 0: unknown
	SlowStartShare float64 `json:"cold_share"`     // share of the capacity that a store has at its start
	SlowStartMS    float64 `json:"cold_ms"`        // time until a store has its full capacity
	OverloadFactor float64 `json:"multiple"`       // load limit of a cold store, as a multiple of its current capacity
	Routers        int     `json:"routers"`        // routers that share the stores; 0: those of this location
	MaxInFlight    int     `json:"most_out"`       // commands in flight from one router
	MaxTTLMS       float64 `json:"keep_ms"`        // longest TTL of a copy
	Lease          *bool   `json:"lease"`          // concurrent misses of an object become one fill; nil: true
}

// Milliseconds converts milliseconds to a duration.
func Milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// ImmutableChange returns the name of a setting that differs between the two files and cannot change while the router
// runs, or "" if there is none.
func (f *File) ImmutableChange(changed *File) string {
	switch {
	case !slices.EqualFunc(f.Stores, changed.Stores, isSameStore):
		return "stores"
	case f.Shared.MaxTTLMS != changed.Shared.MaxTTLMS:
		return "shared.keep_ms"
	case (f.TLS == nil) != (changed.TLS == nil):
		return "tls"
	}
	return ""
}

// isSameStore reports whether two stores have the same settings. It ignores the content of their TLS files.
func isSameStore(first, second Store) bool {
	first.TLSConfig, second.TLSConfig = nil, nil
	return reflect.DeepEqual(first, second)
}
