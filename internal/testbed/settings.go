package testbed

import "time"

// Classes of requests.
const (
	classClip    = "clip"    // fetches of objects
	classSignoff = "signoff" // writes, which must run at most once
)

// Settings is the part of the configuration that all routers of a cluster share.
type Settings struct {
	Routers             int
	Grace               time.Duration // after a drain or a purge
	TransferKBPerSecond float64
	MemoryMB            int
	Sockets             int
	LatencyObjective    time.Duration
	Deadline            time.Duration
	SlowStart           time.Duration // duration of a server's slow start
	ColdCapacityShare   float64       // share of a server's capacity right after its start
	LocalFlowBytes      float64       // bytes a second of a response from the router's own memory, 0: it keeps no copies

	Override func(settings map[string]any) // if set, changes the encoded settings of all routers
}

// DefaultSettings returns the settings of a medium-sized site.
func DefaultSettings(routers int) Settings {
	return Settings{
		Routers: routers, Grace: time.Second, TransferKBPerSecond: 5000, MemoryMB: 192, Sockets: 1024,
		LatencyObjective: 400 * time.Millisecond, Deadline: 5 * time.Second, SlowStart: 10 * time.Second,
		ColdCapacityShare: 0.3,
	}
}

// encode returns the settings by the keys of the configuration file.
func (s *Settings) encode() map[string]any {
	settings := map[string]any{
		"az": 0, "dcs": []string{"west"}, "shapes": []string{"box", "parent", "origin"}, "n_instances": s.Routers,
		"registry_mode": "automatic", "weight_source": "rough", "classes": s.encodeClasses(),
		"caps": map[string]any{
			"cancelling": true, "conn_idle_ms": 30000, "connect_timeout_ms": 400, "max_retry_after_ms": 1000,
			"most_tries": 6, "multiplex": 100, "probes": true, "retry_after": true, "second_copies": true,
		},
		"report": map[string]any{"columns": []string{"cpu_share"}, "via": "probe"},
		"rules": map[string]any{
			"drain_grace_ms": s.Grace.Milliseconds(), "start_capacity": s.ColdCapacityShare,
			"cold_ms": s.SlowStart.Milliseconds(), "fall_multiple": 2.5, "overload_for_ms": 3000,
		},
		"specifics": s.encodeSpecifics(),
	}
	if s.Override != nil {
		s.Override(settings)
	}
	return settings
}

func (s *Settings) encodeClasses() []map[string]any {
	return []map[string]any{
		{
			"name": classClip, "target_ms": s.LatencyObjective.Milliseconds(), "aim_stretch": 1.6,
			"deadline_ms": s.Deadline.Milliseconds(), "importance": 2, "late_worth": 0.15, "effect": "retryable",
		},
		{"name": classSignoff, "target_ms": 700, "deadline_ms": 3000, "importance": 3, "effect": "fragile"},
	}
}

func (s *Settings) encodeSpecifics() map[string]any {
	return map[string]any{
		"class_write": []bool{false, true}, "flow_kb_per_s": s.TransferKBPerSecond, "gone_everywhere_ms": 1000,
		"lifetime_by_class_ms": []float64{0, 0}, "may_pass_by": true, "neighbours": "any", "parent_floor": 1,
		"parent_ramp_ms": 1, "upper_fall_multiple": 2, "purge_grace_ms": s.Grace.Milliseconds(), "root_kind": 2,
		"second_tier_kind": 1, "says": "all", "seats_by_zone": []int{s.Routers}, "origin_limit_factor": 2.5,
		"origin_bears_ms": 3000,
	}
}
