package config

import (
	"encoding/json"

	"fennelarch/policy/routing"
)

// This file defines the keys and values of the configuration and its settings, as the platform gives them. Other keys
// are ignored. A comment beside a key gives the project's term for it, and the unit if the key does not name one.
//
// When a value of another type stands in place of an object, the JSON decoder's error prints the Go type of that
// object, and the check command prints the error. To keep that text stable, the fields keep their names and the types
// are aliases of unnamed structs.

// configurationKeys holds the keys of a router's configuration.
type configurationKeys = struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Seed      string          `json:"seed"`     // seed of random decisions, hexadecimal
	Discovery string          `json:"bulletin"` // address of the discovery server
	Limits    limitKeys       `json:"limits"`
	Flow      float64         `json:"flow_bytes_per_s"` // rate of one response from the local cache
	Link      float64         `json:"link_bytes_per_s"` // rate of all responses from the local cache together
	Known     json.RawMessage `json:"known"`            // discovery events published so far
	Settings  json.RawMessage `json:"settings"`
}

type limitKeys = struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// conf holds the keys of the settings.
type conf struct {
	Zone      int            `json:"az"` // this router's zone, an index into dcs
	Zones     []string       `json:"dcs"`
	Kinds     []string       `json:"shapes"`        // endpoint kinds
	Instances int            `json:"n_instances"`   // number of routers
	Registry  string         `json:"registry_mode"` // "subscribe": endpoint lists arrive only on request
	Weights   string         `json:"weight_source"` // "nominal" or "rough": a weight is a link's capacity
	Classes   []classKeys    `json:"classes"`
	Tenants   []tenantKeys   `json:"tenants"`
	Caps      capabilityKeys `json:"caps"`
	Report    reportKeys     `json:"report"`
	Rules     rulesKeys      `json:"rules"`
	Own       specificsKeys  `json:"specifics"`
}

// classKeys holds the keys of a request class.
type classKeys = struct {
	Name     string  `json:"name"`
	Stretch  float64 `json:"aim_stretch"` // objective stretch: multiple of the transfer time added to the objective
	Deadline float64 `json:"deadline_ms"`
	Target   float64 `json:"target_ms"`  // latency objective
	Worth    float64 `json:"importance"` // value of a response within the latency objective
	Late     float64 `json:"late_worth"` // value of a later response
	Effect   string  `json:"effect"`     // idempotency: what a repeat of a request does
	Group    string  `json:"group"`      // dedup scope: endpoints that drop each other's repeats
	Window   float64 `json:"window_ms"`  // dedup window: how long repeats are dropped
	Stream   bool    `json:"stream"`
}

// tenantKeys holds the keys of a tenant.
type tenantKeys = struct {
	Name      string  `json:"name"`
	Allowance float64 `json:"allowance_per_s"` // quota of requests
}

// capabilityKeys holds the keys of what the platform's transport supports, and of its limits.
type capabilityKeys = struct {
	Cancel     bool    `json:"cancelling"`
	Idle       float64 `json:"conn_idle_ms"` // idle timeout of an upstream connection
	Streams    int     `json:"multiplex"`    // streams per connection
	Connect    float64 `json:"connect_timeout_ms"`
	MaxWait    float64 `json:"max_retry_after_ms"`
	Tries      int     `json:"most_tries"` // maximum attempts of a request
	Probes     bool    `json:"probes"`     // health checks are available
	RetryAfter bool    `json:"retry_after"`
	Second     bool    `json:"second_copies"` // hedged requests are allowed
}

// reportKeys holds the keys of load reports.
type reportKeys = struct {
	Columns []string `json:"columns"` // load signals, in the order of the report
	Via     string   `json:"via"`     // report channel
}

// rulesKeys holds the keys of discovery, drains, slow start and overload.
type rulesKeys = struct {
	AskWithin float64 `json:"ask_within_ms"` // poll interval
	Cold      float64 `json:"cold_ms"`       // duration of slow start
	Drain     float64 `json:"drain_grace_ms"`
	Multiple  float64 `json:"fall_multiple"`   // overload factor
	FallFor   float64 `json:"overload_for_ms"` // overload window
	ColdShare float64 `json:"start_capacity"`  // share of the capacity at the start
}

// specificsKeys holds the keys that only a router for caches has.
type specificsKeys = struct {
	Write          []bool    `json:"class_write"`          // whether requests write, by class
	Flow           float64   `json:"flow_kb_per_s"`        // rate of one transfer
	Done           float64   `json:"gone_everywhere_ms"`   // time until a purge is complete
	Inlet          []float64 `json:"inlet_kb_per_s"`       // ingress rate of each zone
	Fresh          []float64 `json:"lifetime_by_class_ms"` // how long a cached object is fresh, by class
	Direct         bool      `json:"may_pass_by"`          // requests may bypass the caches
	Joins          bool      `json:"merges_fills"`         // caches coalesce fills
	Neighbours     string    `json:"neighbours"`           // peer fill: caches that may be the source of a fill
	Older          []float64 `json:"older_by_ms"`          // how much older a stale copy may be, by class
	OriginFor      float64   `json:"origin_bears_ms"`      // overload window of the origin
	OriginMultiple float64   `json:"origin_limit_factor"`  // overload factor of the origin
	ParentFloor    float64   `json:"parent_floor"`         // share of its capacity at which a parent starts
	ParentRamp     float64   `json:"parent_ramp_ms"`       // duration of a parent's slow start
	ParentMultiple float64   `json:"upper_fall_multiple"`  // overload factor of a parent
	PurgeGrace     float64   `json:"purge_grace_ms"`
	Origin         *int      `json:"root_kind"`        // kind of the origin, an index into shapes
	Parent         *int      `json:"second_tier_kind"` // kind of parents, an index into shapes
	Says           string    `json:"says"`             // response detail: what a response tells of its path
	Seats          []int     `json:"seats_by_zone"`    // number of routers in each zone
}

// Values of the keys with a fixed set of values.
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
