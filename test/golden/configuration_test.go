package golden_test

// These tests show that each key of the configuration and of the operator's file is read: a value of the wrong JSON
// type is rejected with a message that names the key.

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"testing"
)

// configurationKeys are all keys of the configuration. The suffix / marks an object, the suffix [] a list.
const configurationKeys = `name listen seed bulletin limits/ limits.cores limits.memory_mb limits.sockets
 flow_bytes_per_s link_bytes_per_s known settings/
 settings.az settings.dcs[] settings.shapes[] settings.n_instances settings.registry_mode settings.weight_source
 settings.classes[] settings.classes.0.name settings.classes.0.aim_stretch settings.classes.0.deadline_ms
 settings.classes.0.target_ms settings.classes.0.importance settings.classes.0.late_worth settings.classes.0.effect
 settings.classes.0.group settings.classes.0.window_ms settings.classes.0.stream
 settings.tenants[] settings.tenants.0.name settings.tenants.0.allowance_per_s
 settings.caps/ settings.caps.cancelling settings.caps.conn_idle_ms settings.caps.multiplex
 settings.caps.connect_timeout_ms settings.caps.max_retry_after_ms settings.caps.most_tries settings.caps.probes
 settings.caps.retry_after settings.caps.second_copies
 settings.report/ settings.report.columns[] settings.report.via
 settings.rules/ settings.rules.ask_within_ms settings.rules.cold_ms settings.rules.drain_grace_ms
 settings.rules.fall_multiple settings.rules.overload_for_ms settings.rules.start_capacity
 settings.specifics/ settings.specifics.class_write[] settings.specifics.flow_kb_per_s
 settings.specifics.gone_everywhere_ms settings.specifics.inlet_kb_per_s[] settings.specifics.lifetime_by_class_ms[]
 settings.specifics.may_pass_by settings.specifics.merges_fills settings.specifics.neighbours
 settings.specifics.older_by_ms[] settings.specifics.origin_bears_ms settings.specifics.origin_limit_factor
 settings.specifics.parent_floor settings.specifics.parent_ramp_ms settings.specifics.upper_fall_multiple
 settings.specifics.purge_grace_ms settings.specifics.root_kind settings.specifics.second_tier_kind
 settings.specifics.says settings.specifics.seats_by_zone[]
 unheard_of settings.unheard_of settings.caps.unheard_of`

// operatorKeys are all keys of the operator's file, with the same suffixes.
const operatorKeys = `stores[] stores.0.uid stores.0.addresses[] stores.0.listed stores.0.weight stores.0.prefix
 stores.0.user stores.0.password_file stores.0.database stores.0.tls/ stores.0.tls.ca_file stores.0.tls.server_name
 stores.0.tls.cert_file stores.0.tls.key_file
 shared/ shared.capacity_per_s shared.cold_share shared.cold_ms shared.multiple shared.routers shared.most_out
 shared.keep_ms shared.lease
 admission/ admission.known[] admission.reserve admission.per_address admission.new_per_s admission.burst
 admission.views_per_address admission.views admission.handshakes admission.handshake_cores admission.remember
 tls/ tls.cert_file tls.key_file tls.client_ca_file tls.client tls.min_version
 unheard_of stores.0.unheard_of shared.unheard_of admission.unheard_of tls.unheard_of`

// wrongValues returns the path of a key, and JSON values of the wrong type for it.
func wrongValues(key string) (path string, values []any) {
	object := map[string]any{"wrong": true}
	if path, isObject := strings.CutSuffix(key, "/"); isObject {
		return path, []any{"wrong", 7}
	}
	if path, isList := strings.CutSuffix(key, "[]"); isList {
		return path, []any{object, []any{[]any{}}}
	}
	return key, []any{object}
}

// withValue returns a JSON document with a value set at a path. Missing objects and lists on the path are created.
func withValue(doc any, path []string, value any) any {
	if len(path) == 0 {
		return value
	}
	if i, err := strconv.Atoi(path[0]); err == nil {
		list, _ := doc.([]any)
		if len(list) <= i {
			list = append(list, make([]any, i+1-len(list))...)
		}
		list[i] = withValue(list[i], path[1:], value)
		return list
	}
	object, _ := doc.(map[string]any)
	if object == nil {
		object = map[string]any{}
	}
	object[path[0]] = withValue(object[path[0]], path[1:], value)
	return object
}

// replaceValue returns the text of a JSON document with a value set at a path.
func replaceValue(t *testing.T, text, path string, value any) string {
	t.Helper()
	var doc any
	if err := json.Unmarshal([]byte(text), &doc); err != nil {
		t.Fatal(err)
	}
	out, err := json.Marshal(withValue(doc, strings.Split(path, "."), value))
	if err != nil {
		t.Fatal(err)
	}
	return string(out)
}

func TestConfigurationKeysAreRead(t *testing.T) {
	t.Parallel()
	var w strings.Builder
	for key := range strings.FieldsSeq(configurationKeys) {
		path, values := wrongValues(key)
		for _, value := range values {
			fmt.Fprintf(&w, "# %s: %v\n%s", path, value, check(t, replaceValue(t, exampleConfiguration(t), path, value), ""))
		}
	}
	expectGolden(t, "configuration_keys.txt", []byte(w.String()))
}

func TestOperatorKeysAreChecked(t *testing.T) {
	t.Parallel()
	pair := map[string]any{"cert_file": "a", "key_file": "b"} // the other keys of tls are checked only if both are set
	whole := replaceValue(t, replaceValue(t, exampleOperator(t), "tls", pair), "stores.0.tls", pair)
	var w strings.Builder
	for key := range strings.FieldsSeq(operatorKeys) {
		path, values := wrongValues(key)
		for _, value := range values {
			text := replaceValue(t, whole, path, value)
			fmt.Fprintf(&w, "# %s: %v\n%s", path, value, check(t, exampleConfiguration(t), text))
		}
	}
	expectGolden(t, "operator_keys_checked.txt", []byte(w.String()))
}

// numberKeys are the numeric keys of the operator's file. Each comes with a number that the schema allows but that does
// not fit the Go type of the key: not written as an integer, or too large.
var numberKeys = []struct {
	path   string
	number json.Number
}{
	{"stores.0.weight", "1e999"},
	{"stores.0.database", "1.0"},
	{"shared.capacity_per_s", "1e999"},
	{"shared.cold_ms", "1e999"},
	{"shared.routers", "1.0"},
	{"shared.most_out", "1.0"},
	{"admission.reserve", "1.0"},
	{"admission.per_address", "1.0"},
	{"admission.new_per_s", "1e999"},
	{"admission.burst", "1.0"},
	{"admission.views_per_address", "1.0"},
	{"admission.views", "1.0"},
	{"admission.handshakes", "1.0"},
	{"admission.remember", "1.0"},
}

func TestOperatorNumbersAreRead(t *testing.T) {
	t.Parallel()
	var w strings.Builder
	for _, key := range numberKeys {
		text := replaceValue(t, exampleOperator(t), key.path, key.number)
		fmt.Fprintf(&w, "# %s: %s\n%s", key.path, key.number, check(t, exampleConfiguration(t), text))
	}
	expectGolden(t, "operator_numbers.txt", []byte(w.String()))
}
