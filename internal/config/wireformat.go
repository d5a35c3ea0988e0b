package config

import (
	"encoding/json"

	"fennelarch/policy/routing"
)

// This file holds the keys and values of the configuration and of its settings, as the platform gives them; other keys
// are ignored. A comment has our term where a key has another, with the unit where the key does not say it.
//
// Where a value stands in place of an object, the JSON decoder prints the Go type of that object. The fields keep
// their names, and the objects their types without a name (hence the aliases), so that the error texts of check stay
// the same.

// configurationKeys are the keys of a router's configuration.
type configurationKeys = struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Seed      string          `json:"seed"`     // of random decisions, hexadecimal
	Discovery string          `json:"bulletin"` // address of the discovery server
	Limits    limitKeys       `json:"limits"`
	Flow      float64         `json:"flow_bytes_per_s"` // of one response from the local cache
	Link      float64         `json:"link_bytes_per_s"` // of all responses from the local cache together
	Known     json.RawMessage `json:"known"`            // discovery events so far
	Settings  json.RawMessage `json:"settings"`
}

type limitKeys = struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// conf are the keys of the settings.
type conf struct {
	Zone      int            `json:"az"` // this router's zone, an index into dcs
	Zones     []string       `json:"dcs"`
	Kinds     []string       `json:"shapes"`        // endpoint kinds
	Instances int            `json:"n_instances"`   // routers
	Registry  string         `json:"registry_mode"` // "subscribe": endpoint lists are polled
	Weights   string         `json:"weight_source"` // "nominal" or "rough": a weight is a link's capacity
	Classes   []classKeys    `json:"classes"`
	Tenants   []tenantKeys   `json:"tenants"`
	Caps      capabilityKeys `json:"caps"`
	Report    reportKeys     `json:"report"`
	Rules     rulesKeys      `json:"rules"`
	Own       specificsKeys  `json:"specifics"`
}

// classKeys are the keys of a request class.
type classKeys = struct {
	Name     string  `json:"name"`
	Stretch  float64 `json:"aim_stretch"` // objective stretch, by which large objects may take longer
	Deadline float64 `json:"deadline_ms"`
	Target   float64 `json:"target_ms"`  // latency objective
	Worth    float64 `json:"importance"` // value of a response in time
	Late     float64 `json:"late_worth"` // value of a late response
	Effect   string  `json:"effect"`     // idempotency
	Group    string  `json:"group"`      // dedup scope
	Window   float64 `json:"window_ms"`  // dedup window
	Stream   bool    `json:"stream"`
}

// tenantKeys are the keys of a tenant.
type tenantKeys = struct {
	Name      string  `json:"name"`
	Allowance float64 `json:"allowance_per_s"` // quota
}

// capabilityKeys are what the platform's transport can do, and its limits.
type capabilityKeys = struct {
	Cancel     bool    `json:"cancelling"`
	Idle       float64 `json:"conn_idle_ms"` // idle timeout of an upstream connection
	Streams    int     `json:"multiplex"`    // streams per connection
	Connect    float64 `json:"connect_timeout_ms"`
	MaxWait    float64 `json:"max_retry_after_ms"`
	Tries      int     `json:"most_tries"` // max attempts of a request
	Probes     bool    `json:"probes"`     // health checks
	RetryAfter bool    `json:"retry_after"`
	Second     bool    `json:"second_copies"` // hedged requests
}

// reportKeys are the keys of load reports.
type reportKeys = struct {
	Columns []string `json:"columns"` // load signals, in the order of a report
	Via     string   `json:"via"`     // report channel
}

// rulesKeys are the keys of discovery, drains, slow start and overload.
type rulesKeys = struct {
	AskWithin float64 `json:"ask_within_ms"` // poll interval
	Cold      float64 `json:"cold_ms"`       // slow start
	Drain     float64 `json:"drain_grace_ms"`
	Multiple  float64 `json:"fall_multiple"`   // overload factor
	FallFor   float64 `json:"overload_for_ms"` // overload window
	ColdShare float64 `json:"start_capacity"`  // slow start share
}

// specificsKeys are the keys that only a router for caches has.
type specificsKeys = struct {
	Write          []bool    `json:"class_write"`          // by class: requests that write
	Flow           float64   `json:"flow_kb_per_s"`        // of one transfer
	Done           float64   `json:"gone_everywhere_ms"`   // until a purge is complete
	Inlet          []float64 `json:"inlet_kb_per_s"`       // ingress of each zone
	Fresh          []float64 `json:"lifetime_by_class_ms"` // how long a cached object is fresh
	Direct         bool      `json:"may_pass_by"`          // requests may bypass the cache servers
	Joins          bool      `json:"merges_fills"`         // cache servers coalesce fills
	Neighbours     string    `json:"neighbours"`           // peer fill
	Older          []float64 `json:"older_by_ms"`          // max stale, by class
	OriginFor      float64   `json:"origin_bears_ms"`      // overload window of the origin
	OriginMultiple float64   `json:"origin_limit_factor"`  // overload factor of the origin
	ParentFloor    float64   `json:"parent_floor"`         // slow start share of a parent
	ParentRamp     float64   `json:"parent_ramp_ms"`       // slow start of a parent
	ParentMultiple float64   `json:"upper_fall_multiple"`  // overload factor of a parent
	PurgeGrace     float64   `json:"purge_grace_ms"`
	Origin         *int      `json:"root_kind"`        // kind of the origin, an index into shapes
	Parent         *int      `json:"second_tier_kind"` // kind of parents, an index into shapes
	Says           string    `json:"says"`             // response detail
	Seats          []int     `json:"seats_by_zone"`    // routers of each zone
}

// The values of keys that choose one of several.
var (
	idempotencies = map[string]routing.Idempotency{
		"retryable": routing.Idempotent,
		"dedup":     routing.IdempotentWithKey,
		"fragile":   routing.NonIdempotent,
	}
	dedupScopes = map[string]routing.DedupScope{
		"all":  routing.ScopeAll,
		"zone": routing.ScopeZone,
		"cell": routing.ScopeCell,
	}
	peerFills = map[string]routing.PeerFill{
		"location": routing.PeerFillLocation,
		"any":      routing.PeerFillAny,
	}
	responseDetails = map[string]routing.ResponseDetail{
		"hit": routing.DetailHit,
		"all": routing.DetailFull,
	}
	reportChannels = map[string]routing.ReportChannel{
		"answers": routing.ReportsWithResponses,
		"probe":   routing.ReportsWithHealthChecks,
	}
	signals = map[string]routing.Signal{
		"busy_reqs": routing.SignalInFlight,
		"pending":   routing.SignalQueued,
		"cpu_share": routing.SignalUtilization,
		"x0":        routing.SignalHits,
		"x1":        routing.SignalLinkUtilization,
	}
)

const (
	registrySubscribe = "subscribe"
	weightsNominal    = "nominal"
	weightsRough      = "rough"
)
