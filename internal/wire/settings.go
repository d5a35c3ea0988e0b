package wire

import (
	"encoding/json"
	"fmt"

	"fennelarch/rules"
)

// conf names the keys of the settings that the rules read; others are passed over.
type conf struct {
	Zone      int    `json:"az"`
	Instances int    `json:"n_instances"`
	Registry  string `json:"registry_mode"`
	Weights   string `json:"weight_source"`
	Classes   []struct {
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
		Allowance float64 `json:"allowance_per_s"`
	} `json:"tenants"`
	Caps struct {
		Cancel     bool    `json:"cancelling"`
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
	effects = map[string]rules.Effect{"retryable": rules.Harmless, "dedup": rules.Stamped, "fragile": rules.OneShot}
	scopes  = map[string]rules.Scope{"all": rules.ScopeAll, "zone": rules.ScopeZone, "cell": rules.ScopeCell}
	reaches = map[string]rules.Reach{"location": rules.ReachLocation, "any": rules.ReachAny}
	tells   = map[string]rules.Tells{"hit": rules.TellsHit, "all": rules.TellsAll}
	vias    = map[string]rules.Via{"answers": rules.ViaAnswers, "probe": rules.ViaProbe}
	signals = map[string]rules.Signal{"busy_reqs": rules.SignalHeld, "pending": rules.SignalQueued,
		"cpu_share": rules.SignalBusy, "x0": rules.SignalHits, "x1": rules.SignalPipe}
)

func at[T any](list []T, i int) (v T) {
	if i < len(list) {
		v = list[i]
	}
	return v
}

func kind(k *int) rules.KindID {
	if k == nil {
		return -1
	}
	return rules.KindID(*k)
}

// Settings reads the JSON text of a router's settings.
func Settings(text []byte) (rules.Settings, error) {
	var c conf
	if err := json.Unmarshal(text, &c); err != nil {
		return rules.Settings{}, err
	}
	s := rules.Settings{
		Routers: c.Instances, Zone: rules.ZoneID(c.Zone), ZoneRouters: c.Own.Seats, ZoneInlet: c.Own.Inlet,
		ParentKind: kind(c.Own.Parent), OriginKind: kind(c.Own.Origin),
		Probes: c.Caps.Probes, Cancel: c.Caps.Cancel, SecondCopies: c.Caps.Second, RetryAfter: c.Caps.RetryAfter,
		Legs: c.Caps.Tries, MaxWait: span(c.Caps.MaxWait), ConnectLimit: span(c.Caps.Connect),
		AskForList: c.Registry == "subscribe", AskWithin: span(c.Rules.AskWithin),
		DrainGrace: span(c.Rules.Drain), ColdShare: c.Rules.ColdShare, ColdFor: span(c.Rules.Cold),
		FallMultiple: c.Rules.Multiple, FallFor: span(c.Rules.FallFor),
		ParentColdShare: c.Own.ParentFloor, ParentColdFor: span(c.Own.ParentRamp),
		ParentFallMultiple: c.Own.ParentMultiple,
		OriginFallMultiple: c.Own.OriginMultiple, OriginFallFor: span(c.Own.OriginFor),
		PurgeGrace: span(c.Own.PurgeGrace), PurgeDone: span(c.Own.Done),
		Direct: c.Own.Direct, Joins: c.Own.Joins, Siblings: reaches[c.Own.Neighbours],
		Tells: tells[c.Own.Says], FlowKB: c.Own.Flow, Reports: vias[c.Report.Via],
		WeightIsLink: c.Own.Flow > 0 && (c.Weights == "nominal" || c.Weights == "rough"),
	}
	for _, name := range c.Report.Columns {
		s.Columns = append(s.Columns, signals[name])
	}
	for i, k := range c.Classes {
		effect, known := effects[k.Effect]
		if !known {
			return s, fmt.Errorf("class %d has the unknown effect %q", i, k.Effect)
		}
		s.Tariffs = append(s.Tariffs, rules.Tariff{
			Due: span(k.Target), DueStretch: k.Stretch, Hard: span(k.Deadline), Payoff: k.Worth, LatePayoff: k.Late,
			Effect: effect, Scope: scopes[k.Group], Window: span(k.Window), Stream: k.Stream,
			Write: at(c.Own.Write, i), Fresh: span(at(c.Own.Fresh, i)), Grace: span(at(c.Own.Older, i)),
		})
	}
	for _, t := range c.Tenants {
		s.Tenants = append(s.Tenants, rules.Tenant{Allowance: t.Allowance})
	}
	return s, nil
}
