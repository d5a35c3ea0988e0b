package main

// The settings below are those of a small deployment with one router, with the figures of a site file.

// class is an entry of a deployment's classes.
func class(name, effect string, targetMS, stretch, deadlineMS, worth float64) map[string]any {
	return map[string]any{
		"name": name, "target_ms": targetMS, "aim_stretch": stretch, "deadline_ms": deadlineMS, "importance": worth,
		"late_worth": 0.15, "effect": effect, "group": "all", "window_ms": 5000, "stream": false,
	}
}

// depotRecords returns the settings by depot-records. The effect of the class clip is given: short days may change it.
func depotRecords(clipEffect string) map[string]any {
	return map[string]any{
		"az": 0, "dcs": []string{"west"}, "shapes": []string{"box", "parent", "origin"}, "n_instances": 1,
		"registry_mode": "automatic", "weight_source": "rough",
		"classes": []map[string]any{
			class("clip", clipEffect, 400, 1.6, 5000, 2), class("photo", "retryable", 250, 2, 3000, 1),
			class("signoff", "fragile", 700, 0, 3000, 3),
		},
		"caps": map[string]any{
			"cancelling": true, "conn_idle_ms": 30000, "connect_timeout_ms": 400, "max_retry_after_ms": 1000,
			"most_tries": 6, "multiplex": 100, "probes": true, "retry_after": true, "second_copies": true,
		},
		"report": map[string]any{"columns": []string{"cpu_share", "x1"}, "via": "probe"},
		"rules": map[string]any{
			"drain_grace_ms": 1000, "start_capacity": 0.17, "cold_ms": 16000, "fall_multiple": 2.5, "overload_for_ms": 3000,
		},
		"specifics": map[string]any{
			"class_write": []bool{false, false, true}, "lifetime_by_class_ms": []float64{0, 0, 0},
			"flow_kb_per_s": 5000, "gone_everywhere_ms": 6000, "may_pass_by": true, "merges_fills": false,
			"neighbours": "any", "parent_floor": 0.064, "parent_ramp_ms": 21000, "upper_fall_multiple": 2,
			"purge_grace_ms": 1000, "root_kind": 2, "second_tier_kind": 1, "says": "all", "seats_by_zone": []int{1},
			"origin_limit_factor": 2.5, "origin_bears_ms": 3000,
		},
	}
}

// counterNet returns the settings by counter-net.
func counterNet() map[string]any {
	return map[string]any{
		"az": 0, "dcs": []string{"west"}, "shapes": []string{"box", "parent", "origin"}, "n_instances": 1,
		"registry_mode": "automatic", "weight_source": "rough",
		"classes": []map[string]any{
			class("guide-video", "retryable", 500, 2, 6000, 2), class("form-assets", "retryable", 300, 2, 3000, 1),
			class("activation", "fragile", 800, 0, 3000, 3),
		},
		"caps": map[string]any{
			"cancelling": true, "conn_idle_ms": 15000, "connect_timeout_ms": 400, "max_retry_after_ms": 1000,
			"most_tries": 8, "multiplex": 32, "probes": false, "retry_after": true, "second_copies": true,
		},
		"report": map[string]any{"columns": []string{"cpu_share", "busy_reqs", "x1"}, "via": "answers"},
		"rules": map[string]any{
			"drain_grace_ms": 500, "start_capacity": 0.17, "cold_ms": 18000, "fall_multiple": 2, "overload_for_ms": 1000,
		},
		"specifics": map[string]any{
			"class_write": []bool{false, false, true}, "lifetime_by_class_ms": []float64{0, 12000, 0},
			"flow_kb_per_s": 5000, "gone_everywhere_ms": 6000, "may_pass_by": true, "merges_fills": true,
			"neighbours": "location", "parent_floor": 0.069, "parent_ramp_ms": 18000, "upper_fall_multiple": 2,
			"purge_grace_ms": 300, "root_kind": 2, "second_tier_kind": 1, "says": "all", "seats_by_zone": []int{1},
			"origin_limit_factor": 2.5, "origin_bears_ms": 3000,
		},
	}
}
