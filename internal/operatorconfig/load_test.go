package operatorconfig

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// readCases are texts and the error of each, "" for none, by what they show.
var readCases = map[string]struct{ text, want string }{
	"valid": {`{"stores": [{"uid": "s-1", "addresses": ["127.0.0.1:6379"]}]}`, ""},
	"store without address": {
		"{\n \"stores\": [\n  {\"uid\": \"s-1\"}]}",
		"line 3: stores.0: a store that is not listed needs addresses",
	},
	"store twice": {
		"{\n \"stores\": [\n  {\"uid\": \"s-1\", \"listed\": true},\n  {\"uid\": \"s-1\", \"listed\": true}]}",
		`line 4: stores.1.uid: "s-1" is there twice`,
	},
	"address without port": {
		"{\n \"stores\": [\n  {\"uid\": \"s-1\",\n   \"addresses\": [\"nowhere\"]}]}",
		"line 4: stores.0.addresses.0: 'nowhere' does not match pattern '^[^ ]+:[0-9]{1,5}$'",
	},
	"no weight": {
		"{\n \"stores\": [\n  {\"uid\": \"s-1\", \"listed\": true,\n   \"weight\": 0}]}",
		"line 4: stores.0.weight: exclusiveMinimum: got 0, want 0",
	},
	"unknown key": {"{\n \"stroes\": []}", "line 2: stroes: there is no such setting"},
	"store without uid": {
		"{\n \"stores\": [\n  {\"addresses\": []}]}",
		"line 3: stores.0: missing property 'uid'",
	},
	"text for a boolean": {
		"{\n \"shared\": {\n  \"lease\": \"yes\"}}",
		"line 3: shared.lease: got string, want boolean",
	},
	"too small a number": {
		"{\n \"shared\": {\n  \"keep_ms\": 1}}",
		"line 3: shared.keep_ms: minimum: got 1, want 1,000",
	},
	"syntax error": {
		"{\n \"stores\": [,]}",
		"line 2: invalid character ',' looking for beginning of value",
	},
	"missing password file": {
		"{\n \"stores\": [\n  {\"uid\": \"s-1\", \"listed\": true, \"password_file\": \"none.txt\"}]}",
		"line 3: stores.0.password_file: open /nonexistent/none.txt: no such file or directory",
	},
	"certificate without key": {
		"{\n \"stores\": [\n  {\"uid\": \"s-1\", \"listed\": true, \"tls\": {\"cert_file\": \"a\"}}]}",
		"line 3: stores.0.tls: properties 'key_file' required, if 'cert_file' exists",
	},
	"empty": {"", "line 1: EOF"},
}

func TestReadSaysWhereAMistakeIs(t *testing.T) {
	for name, test := range readCases {
		t.Run(name, func(t *testing.T) {
			got := ""
			if _, err := Read([]byte(test.text), "/nonexistent"); err != nil {
				got = err.Error()
			}
			if got != test.want {
				t.Errorf("%q, not %q", got, test.want)
			}
		})
	}
}

func TestReadRejectsContradictoryAdmission(t *testing.T) {
	for name, test := range map[string]struct{ admission, want string }{
		"known client twice": {
			`"known": ["10.0.0.1", "10.0.0.1"]`,
			`line 1: admission.known.1: "10.0.0.1" is there twice, at 0 too`,
		},
		"reserve for nobody": {
			`"reserve": 3, "remember": 1`,
			"line 1: admission.reserve: a reserve for known clients, but nobody can be known",
		},
		"burst without rate": {
			`"burst": 3`,
			"line 1: admission.burst: a burst of new connections has no meaning without new_per_s",
		},
		"one address has more than all": {
			`"views_per_address": 4, "views": 3`,
			"line 1: admission.views_per_address: one address may have more open views than all together",
		},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Read([]byte(`{"admission": {`+test.admission+`}}`), "")
			if err == nil || err.Error() != test.want {
				t.Errorf("%v, not %s", err, test.want)
			}
		})
	}
}

func TestReadLoadsPasswordAndTLS(t *testing.T) {
	folder := t.TempDir()
	if err := os.WriteFile(filepath.Join(folder, "password"), []byte("secret\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	text := `{"stores": [{"uid": "s-1", "listed": true, "password_file": "password", "tls": {}}]}`
	file, err := Read([]byte(text), folder)
	if err != nil {
		t.Fatal(err)
	}
	if store := file.Stores[0]; store.Password != "secret" || store.Secure == nil {
		t.Errorf("%+v", store)
	}
}

func TestLoad(t *testing.T) {
	_, err := Load(filepath.Join(t.TempDir(), "none"))
	if err == nil || strings.Count(err.Error(), "\n") > 0 {
		t.Error(err)
	}
	if file, err := Load("../../deploy/operator.example.json"); err != nil || len(file.Stores) != 1 {
		t.Error(file, err)
	}
}

func TestImmutableChange(t *testing.T) {
	read := func(text string) *File {
		t.Helper()
		file, err := Read([]byte(text), "")
		if err != nil {
			t.Fatal(err)
		}
		return file
	}
	file := read(`{"stores": [{"uid": "s-1", "listed": true}], "shared": {"multiple": 2}}`)
	for name, test := range map[string]struct{ changed, want string }{
		"nothing":        {`{"stores": [{"uid": "s-1", "listed": true}], "shared": {"multiple": 2}}`, ""},
		"what is free":   {`{"stores": [{"uid": "s-1", "listed": true}], "shared": {"multiple": 3}}`, ""},
		"another store":  {`{"stores": [{"uid": "s-2", "listed": true}]}`, "stores"},
		"time to live":   {`{"stores": [{"uid": "s-1", "listed": true}], "shared": {"keep_ms": 5000}}`, "shared.keep_ms"},
		"TLS of clients": {`{"stores": [{"uid": "s-1", "listed": true}], "tls": {"cert_file": "a", "key_file": "b"}}`, "tls"},
	} {
		t.Run(name, func(t *testing.T) {
			if got := file.ImmutableChange(read(test.changed)); got != test.want {
				t.Errorf("%q, not %q", got, test.want)
			}
		})
	}
}

func FuzzRead(f *testing.F) {
	f.Add(`{"stores": [{"uid": "s-1", "listed": true}], "shared": {"multiple": 2}}`)
	f.Fuzz(func(t *testing.T, text string) {
		if _, err := Read([]byte(text), "/nonexistent"); err != nil && strings.Contains(err.Error(), "\n") {
			t.Errorf("more than a line: %v", err)
		}
	})
}
