// Package settings decodes what a router is told at its start. This file owns the settings object, which the bench
// and the service give alike; it holds no default and decides nothing.
package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"fennelarch/policy/routing"
)

// conf names the keys of the settings that the rules read; others are passed over.
type conf struct {
	Zone      int      `json:"az"`
	Zones     []string `json:"dcs"`
	Kinds     []string `json:"shapes"`
	Instances int      `json:"n_instances"`
	Registry  string   `json:"registry_mode"`
	Weights   string   `json:"weight_source"`
	Classes   []struct {
		Name     string  `json:"name"`
		Stretch  float64 `json:"aim_stretch"`
		Deadline float64 `json:"deadline_ms"`
		Target   float64 `json:"target_ms"`
		Worth    float64 `json:"importance"`
		Late     float64 `json:"late_worth"`
		Effect   string  `json:"effect"`
		Group    string  `json:"group"`
		Window   float64 `json:"window_ms"`
		Stream   bool    `json:"stream"`
	} `json:"classes"`
	Tenants []struct {
		Name      string  `json:"name"`
		Allowance float64 `json:"allowance_per_s"`
	} `json:"tenants"`
	Caps struct {
		Cancel     bool    `json:"cancelling"`
		Idle       float64 `json:"conn_idle_ms"`
		Streams    int     `json:"multiplex"`
		Connect    float64 `json:"connect_timeout_ms"`
		MaxWait    float64 `json:"max_retry_after_ms"`
		Tries      int     `json:"most_tries"`
		Probes     bool    `json:"probes"`
		RetryAfter bool    `json:"retry_after"`
		Second     bool    `json:"second_copies"`
	} `json:"caps"`
	Report struct {
		Columns []string `json:"columns"`
		Via     string   `json:"via"`
	} `json:"report"`
	Rules struct {
		AskWithin float64 `json:"ask_within_ms"`
		Cold      float64 `json:"cold_ms"`
		Drain     float64 `json:"drain_grace_ms"`
		Multiple  float64 `json:"fall_multiple"`
		FallFor   float64 `json:"overload_for_ms"`
		ColdShare float64 `json:"start_capacity"`
	} `json:"rules"`
	Own struct {
		Write          []bool    `json:"class_write"`
		Flow           float64   `json:"flow_kb_per_s"`
		Done           float64   `json:"gone_everywhere_ms"`
		Inlet          []float64 `json:"inlet_kb_per_s"`
		Fresh          []float64 `json:"lifetime_by_class_ms"`
		Direct         bool      `json:"may_pass_by"`
		Joins          bool      `json:"merges_fills"`
		Neighbours     string    `json:"neighbours"`
		Older          []float64 `json:"older_by_ms"`
		OriginFor      float64   `json:"origin_bears_ms"`
		OriginMultiple float64   `json:"origin_limit_factor"`
		ParentFloor    float64   `json:"parent_floor"`
		ParentRamp     float64   `json:"parent_ramp_ms"`
		ParentMultiple float64   `json:"upper_fall_multiple"`
		PurgeGrace     float64   `json:"purge_grace_ms"`
		Origin         *int      `json:"root_kind"`
		Parent         *int      `json:"second_tier_kind"`
		Says           string    `json:"says"`
		Seats          []int     `json:"seats_by_zone"`
	} `json:"specifics"`
}

var (
	effects = map[string]routing.Idempotency{"retryable": routing.Idempotent, "dedup": routing.IdempotentWithKey, "fragile": routing.NonIdempotent}
	scopes  = map[string]routing.DedupScope{"all": routing.ScopeAll, "zone": routing.ScopeZone, "cell": routing.ScopeCell}
	reaches = map[string]routing.PeerFill{"location": routing.PeerFillLocation, "any": routing.PeerFillAny}
	tells   = map[string]routing.ResponseDetail{"hit": routing.DetailHit, "all": routing.DetailFull}
	vias    = map[string]routing.ReportChannel{"answers": routing.ReportsWithResponses, "probe": routing.ReportsWithHealthChecks}
	signals = map[string]routing.Signal{
		"busy_reqs": routing.SignalInFlight, "pending": routing.SignalQueued,
		"cpu_share": routing.SignalUtilization, "x0": routing.SignalHits, "x1": routing.SignalLinkUtilization,
	}
)

func at[T any](list []T, i int) (v T) {
	if i < len(list) {
		v = list[i]
	}
	return v
}

func kind(k *int) routing.KindID {
	if k == nil {
		return -1
	}
	return routing.KindID(*k)
}

// Names are what the settings call things, by place, and the figures that only connections need.
type Names struct {
	Classes, Tenants, Zones, Kinds, Columns []string

	IdleTimeout          time.Duration // idle connections are closed after this
	StreamsPerConnection int           // legs that one connection carries at a time
}

// plain words what is wrong with a text, and where.
func plain(what string, text []byte, err error) error {
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		before := text[:max(0, min(int(syntax.Offset)-1, len(text)))]
		line, column := 1+bytes.Count(before, []byte{'\n'}), len(before)-bytes.LastIndexByte(before, '\n')
		return fmt.Errorf("%s: line %d, column %d: %w", what, line, column, err)
	case errors.As(err, &kind):
		return fmt.Errorf("%s.%s: a %s where a value of type %s belongs", what, kind.Field, kind.Value, kind.Type)
	}
	return fmt.Errorf("%s: %w", what, err)
}

// Milliseconds is a time in milliseconds; one that is not a number or far off is 0.
func Milliseconds(ms float64) time.Duration {
	if !(ms > -1e12) {
		return 0
	}
	return time.Duration(math.Round(min(ms, 1e12)*1000)) * time.Microsecond
}

// Decode reads the JSON text of a router's settings.
func Decode(text []byte) (routing.Settings, Names, error) {
	var c conf
	if err := json.Unmarshal(text, &c); err != nil {
		return routing.Settings{}, Names{}, plain("settings", text, err)
	}
	names := Names{Zones: c.Zones, Kinds: c.Kinds, Columns: c.Report.Columns, IdleTimeout: Milliseconds(c.Caps.Idle), StreamsPerConnection: c.Caps.Streams}
	s := routing.Settings{
		Routers: c.Instances, Zone: routing.ZoneID(c.Zone), ZoneRouters: c.Own.Seats, ZoneIngressKBPerSecond: c.Own.Inlet,
		ParentKind: kind(c.Own.Parent), OriginKind: kind(c.Own.Origin),
		HealthChecks: c.Caps.Probes, Cancel: c.Caps.Cancel, HedgedRequests: c.Caps.Second, RetryAfter: c.Caps.RetryAfter,
		MaxAttempts: c.Caps.Tries, MaxRetryAfter: Milliseconds(c.Caps.MaxWait), ConnectTimeout: Milliseconds(c.Caps.Connect),
		PollEndpoints: c.Registry == "subscribe", PollInterval: Milliseconds(c.Rules.AskWithin),
		DrainGrace: Milliseconds(c.Rules.Drain), SlowStartShare: c.Rules.ColdShare, SlowStartFor: Milliseconds(c.Rules.Cold),
		OverloadFactor: c.Rules.Multiple, OverloadWindow: Milliseconds(c.Rules.FallFor),
		ParentSlowStartShare: c.Own.ParentFloor, ParentSlowStartFor: Milliseconds(c.Own.ParentRamp),
		ParentOverloadFactor: c.Own.ParentMultiple,
		OriginOverloadFactor: c.Own.OriginMultiple, OriginOverloadWindow: Milliseconds(c.Own.OriginFor),
		PurgeGrace: Milliseconds(c.Own.PurgeGrace), PurgeCompleteAfter: Milliseconds(c.Own.Done),
		AllowDirect: c.Own.Direct, CoalesceFills: c.Own.Joins, PeerFill: reaches[c.Own.Neighbours],
		ResponseDetail: tells[c.Own.Says], FlowKBPerSecond: c.Own.Flow, ReportChannel: vias[c.Report.Via],
		WeightIsLinkCapacity: c.Own.Flow > 0 && (c.Weights == "nominal" || c.Weights == "rough"),
	}
	for _, name := range c.Report.Columns {
		s.ReportColumns = append(s.ReportColumns, signals[name])
	}
	for i, k := range c.Classes {
		effect, known := effects[k.Effect]
		if !known {
			return s, names, fmt.Errorf("settings.classes.%d: the unknown effect %q", i, k.Effect)
		}
		scope, known := scopes[k.Group]
		if effect == routing.IdempotentWithKey && !known {
			effect = routing.NonIdempotent // who drops its repeats is not known: nobody may be taken to
		}
		if slices.Contains(names.Classes, k.Name) {
			return s, names, fmt.Errorf("settings.classes.%d: there is a class %q before it", i, k.Name)
		}
		if k.Deadline <= 0 {
			return s, names, fmt.Errorf("settings.classes.%d: a deadline of %g ms", i, k.Deadline)
		}
		names.Classes = append(names.Classes, k.Name)
		s.Classes = append(s.Classes, routing.Class{
			LatencyObjective: Milliseconds(k.Target), ObjectiveStretch: k.Stretch, Deadline: Milliseconds(k.Deadline), Value: k.Worth, LateValue: k.Late,
			Idempotency: effect, DedupScope: scope, DedupWindow: Milliseconds(k.Window), Stream: k.Stream,
			Write: at(c.Own.Write, i), FreshFor: Milliseconds(at(c.Own.Fresh, i)), MaxStale: Milliseconds(at(c.Own.Older, i)),
		})
	}
	for _, t := range c.Tenants {
		s.Tenants = append(s.Tenants, routing.Tenant{QuotaPerSecond: t.Allowance})
		names.Tenants = append(names.Tenants, t.Name)
	}
	return s, names, nil
}
