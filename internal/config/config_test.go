package config

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"fennelarch/policy/routing"
)

const (
	clipClass  = `{"name":"clip","effect":"retryable","deadline_ms":5000}`
	configText = `{"name":"n3","listen":"127.0.0.1:9090","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"bulletin":"127.0.0.1:7070","known":{"no":0,"items":[]},
 "settings":{"az":1,"dcs":["west","east"],"shapes":["std","parent","origin"],
  "caps":{"conn_idle_ms":30000,"multiplex":100},
  "classes":[` + clipClass + `],"report":{"columns":["util","x1"],"via":"probe"}}}`
)

func TestReadTakesNameFromEnvironment(t *testing.T) {
	got, err := Read([]byte(configText), "n4", "")
	if err != nil {
		t.Fatal(err)
	}
	names := Names{
		Classes: []string{"clip"}, Zones: []string{"west", "east"}, Kinds: []string{"std", "parent", "origin"},
		Columns: []string{"util", "x1"}, IdleTimeout: 30 * time.Second, StreamsPerConnection: 100,
	}
	if !reflect.DeepEqual(got.Names, names) {
		t.Errorf("names %+v, want %+v", got.Names, names)
	}
	const seed = 10096842570142050660
	if got.Name != "n4" || got.Listen != "127.0.0.1:9090" || got.Seed != seed {
		t.Errorf("unexpected name %q, listen address %q or seed %d", got.Name, got.Listen, got.Seed)
	}
	if got.Cores != 1 || got.MemoryMB != 192 || got.Sockets != 1024 {
		t.Errorf("limits of %g cores, %d MB, %d sockets, want 1, 192, 1024", got.Cores, got.MemoryMB, got.Sockets)
	}
}

func TestReadRejectsInOneLine(t *testing.T) {
	for name, test := range map[string]struct{ old, replacement, want string }{
		"missing brace": {
			`{"name"`, `"name"`,
			"configuration: line 1, column 7: invalid character ':' after top-level value",
		},
		"seed":   {"8c1f", "xx", `configuration: seed "xx30d27a5be964" is not hexadecimal`},
		"listen": {"127.0.0.1:9090", "nowhere", "configuration: listen: address nowhere: missing port in address"},
		"discovery address": {
			"127.0.0.1:7070", "nowhere",
			"configuration: bulletin: address nowhere: missing port in address",
		},
		"limits": {
			`"memory_mb":192`, `"memory_mb":1`,
			"configuration: limits of 1 cores, 1 MB, 1024 sockets are too small",
		},
		"effect":   {"retryable", "odd", `settings.classes.0: the unknown effect "odd"`},
		"deadline": {`"deadline_ms":5000`, `"deadline_ms":0`, "settings.classes.0: a deadline of 0 ms"},
		"duplicate class": {
			clipClass, clipClass + `,{"name":"clip","effect":"fragile","deadline_ms":1}`,
			`settings.classes.1: there is a class "clip" before it`,
		},
		"trailing comma": {
			`"via":"probe"`, `"via":"probe",`,
			"configuration: line 5, column 119: invalid character '}' looking for beginning of object key string",
		},
		"string for a number": {
			`"sockets":1024`, `"sockets":"many"`,
			"configuration.limits.sockets: a string where a value of type int belongs",
		},
		"no settings": {`"settings"`, `"settinks"`, "configuration: settings are missing"},
		"no classes":  {clipClass, "", "settings: no classes"},
		"zone":        {`"az":1`, `"az":"x"`, "settings.az: a string where a value of type int belongs"},
	} {
		t.Run(name, func(t *testing.T) {
			text := strings.Replace(configText, test.old, test.replacement, 1)
			if text == configText {
				t.Fatalf("the configuration does not contain %s", test.old)
			}
			if _, err := Read([]byte(text), "", ""); err == nil || err.Error() != test.want {
				t.Errorf("error %v, want %s", err, test.want)
			}
		})
	}
}

func TestLoadNeedsEnvironment(t *testing.T) {
	_, err := Load(func(string) string { return "" })
	if err == nil || err.Error() != "RELAY_CONFIG is not set" {
		t.Error(err)
	}
}

// A class with idempotency keys must name its dedup scope, as a retry is safe only within the scope. Without a known
// scope, the class is not idempotent.
func TestDedupNeedsScope(t *testing.T) {
	for group, want := range map[string]routing.Idempotency{
		"zone": routing.IdempotentWithKey, "": routing.NonIdempotent, "odd": routing.NonIdempotent,
	} {
		text := `{"classes":[{"name":"clip","effect":"dedup","deadline_ms":5000,"group":"` + group + `"}]}`
		settings, _, err := Decode([]byte(text))
		if err != nil || settings.Classes[0].Idempotency != want {
			t.Errorf("group %q: unexpected classes %+v or error %v", group, settings.Classes, err)
		}
	}
}
