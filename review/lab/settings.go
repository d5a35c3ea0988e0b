package main

import "fmt"

// smallSettings returns the settings of a small deployment, like those of the operators' pages.
func smallSettings() map[string]any {
	return map[string]any{
		"az": 0, "dcs": []string{"north"}, "shapes": []string{"standard", "parent", "origin"}, "n_instances": 1,
		"registry_mode": "automatic", "weight_source": "none",
		"classes": []map[string]any{
			{
				"name": "guide-video", "target_ms": 500, "aim_stretch": 2, "deadline_ms": 6000, "importance": 2,
				"late_worth": 0.15, "effect": "retryable",
			},
			{
				"name": "form-assets", "target_ms": 300, "aim_stretch": 2, "deadline_ms": 3000, "importance": 1,
				"late_worth": 0.1, "effect": "retryable",
			},
			{"name": "activation", "target_ms": 800, "deadline_ms": 3000, "importance": 3, "effect": "fragile"},
		},
		"caps": map[string]any{
			"cancelling": true, "conn_idle_ms": 15000, "connect_timeout_ms": 400, "max_retry_after_ms": 500,
			"most_tries": 8, "multiplex": 100, "probes": false, "retry_after": true, "second_copies": true,
		},
		"report": map[string]any{"columns": []string{"cpu_share", "busy_reqs", "x1"}, "via": "answers"},
		"rules": map[string]any{
			"drain_grace_ms": 500, "start_capacity": 0.17, "cold_ms": 18000, "fall_multiple": 2, "overload_for_ms": 1000,
		},
		"specifics": map[string]any{
			"class_write": []bool{false, false, true}, "flow_kb_per_s": 5000, "gone_everywhere_ms": 6000,
			"lifetime_by_class_ms": []int{0, 12000, 0}, "older_by_ms": []int{0, 0, 0},
			"may_pass_by": true, "merges_fills": true, "neighbours": "location", "parent_floor": 0.069,
			"parent_ramp_ms": 18000, "upper_fall_multiple": 2, "purge_grace_ms": 300, "root_kind": 2,
			"second_tier_kind": 1, "says": "all", "seats_by_zone": []int{1}, "origin_limit_factor": 2.5,
			"origin_bears_ms": 3000,
		},
	}
}

// routerConfig returns a router's configuration.
func routerConfig(discovery *platform, settings map[string]any) map[string]any {
	return map[string]any{
		"seed": "8c1f30d27a5be964", "limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"bulletin": discovery.address, "flow_bytes_per_s": 310000, "link_bytes_per_s": 1240000,
		"known": discovery.known(), "settings": settings,
	}
}

// smallFleet starts some caches, a parent and the origin, and tells them to discovery.
func smallFleet(on *stage, caches int) (*fleet, *platform, error) {
	servers := newFleet(on)
	var entries []target
	for i := range caches + 2 {
		uid, model := fmt.Sprintf("s-%d", i+1), "standard"
		switch i {
		case caches:
			uid, model = "parent", "parent"
		case caches + 1:
			uid, model = "origin", "origin"
		}
		server, err := servers.add(uid, model)
		if err != nil {
			return nil, nil, err
		}
		entries = append(entries, server.entry(stateReady))
	}
	discovery, err := newPlatform(on)
	if err != nil {
		return nil, nil, err
	}
	discovery.publish(listEvent(true, entries...))
	return servers, discovery, nil
}
