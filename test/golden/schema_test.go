package golden_test

// These tests pin the output of the commands schema and check.

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// goNames matches the names of Go types in messages of the JSON decoder. They may change, and are replaced.
var goNames = []struct {
	pattern     *regexp.Regexp
	replacement string
}{
	{regexp.MustCompile(`type (\[\])?(?:struct \{.*\}|\*?[a-zA-Z]+\.[a-zA-Z]+) belongs`), "type ${1}STRUCT belongs"},
	{regexp.MustCompile(`Go struct field [a-zA-Z]+\.`), "Go struct field STRUCT."},
}

// exampleConfiguration returns the published example of a configuration.
func exampleConfiguration(t *testing.T) string {
	t.Helper()
	return readDeployFile(t, "example.json")
}

// exampleOperator returns the published example of an operator's file.
func exampleOperator(t *testing.T) string {
	t.Helper()
	return readDeployFile(t, "operator.example.json")
}

func readDeployFile(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(moduleRoot, "deploy", name))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// check runs the command check on a configuration and an operator's file, which is left out if its text is empty.
func check(t *testing.T, configuration, operator string) runOutput {
	t.Helper()
	folder := t.TempDir()
	files := map[string]string{"config.json": configuration, "operator.json": operator}
	for name, text := range files {
		if err := os.WriteFile(filepath.Join(folder, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	arguments := []string{"check"}
	if operator != "" {
		arguments = append(arguments, "--operator", filepath.Join(folder, "operator.json"))
	}
	out := run(t, routerProgram, []string{"RELAY_CONFIG=" + filepath.Join(folder, "config.json")}, nil, arguments...)
	out.stderr = strings.ReplaceAll(out.stderr, folder, "FOLDER")
	for _, name := range goNames {
		out.stderr = name.pattern.ReplaceAllString(out.stderr, name.replacement)
	}
	return out
}

func TestSchemaOfTheOperatorsFile(t *testing.T) {
	out := run(t, routerProgram, nil, nil, "schema")
	if out.code != 0 || out.stderr != "" {
		t.Error(out)
	}
	expectGolden(t, "schema.json", []byte(out.stdout))
}

func TestCheckOfTheExamples(t *testing.T) {
	configuration, operator := exampleConfiguration(t), exampleOperator(t)
	var w strings.Builder
	fmt.Fprintf(&w, "# configuration\n%s", check(t, configuration, ""))
	fmt.Fprintf(&w, "# configuration and operator's file\n%s", check(t, configuration, operator))
	config := filepath.Join(moduleRoot, "deploy", "example.json")
	environment := []string{
		"RELAY_CONFIG=" + config, "RELAY_NAME=n7", "RELAY_LISTEN=127.0.0.1:9999",
		"RELAY_OPERATOR=" + filepath.Join(moduleRoot, "deploy", "operator.example.json"),
	}
	fmt.Fprintf(&w, "# name, address and operator's file from the environment\n%s",
		run(t, routerProgram, environment, nil, "check"))
	fmt.Fprintf(&w, "# no configuration\n%s", run(t, routerProgram, nil, nil, "check"))
	fmt.Fprintf(&w, "# no such file\n%s",
		run(t, routerProgram, []string{"RELAY_CONFIG=/nonexistent/c.json"}, nil, "check"))
	fmt.Fprintf(&w, "# no such operator's file\n%s",
		run(t, routerProgram, []string{"RELAY_CONFIG=" + config}, nil, "check", "--operator", "/nonexistent/o.json"))
	expectGolden(t, "check_examples.txt", []byte(w.String()))
}

func TestCheckOfBrokenConfigurations(t *testing.T) {
	t.Parallel()
	good := exampleConfiguration(t)
	var w strings.Builder
	for _, broken := range [][2]string{
		{`{"name"`, `"name"`},
		{`"8c1f`, `"xx`},
		{`"127.0.0.1:9090"`, `"nowhere"`},
		{`"127.0.0.1:7070"`, `"nowhere"`},
		{`"cores": 1.0`, `"cores": 0`},
		{`"memory_mb": 192`, `"memory_mb": 1`},
		{`"sockets": 1024`, `"sockets": 31`},
		{`"sockets": 1024`, `"sockets": "many"`},
		{`"retryable"`, `"odd"`},
		{`"deadline_ms": 5000`, `"deadline_ms": 0`},
		{`"name": "signoff"`, `"name": "clip"`},
		{`"via": "probe"`, `"via": "probe",`},
		{`"settings": {`, `"settinks": {`},
		{`"classes": [`, `"classes": [], "klasses": [`},
		{`"az": 0`, `"az": "x"`},
		{`"may_pass_by": true`, `"may_pass_by": false`},
		{good, ""},
		{good, "[]"},
		{good, "null"},
		{good, good[:300]},
	} {
		text := strings.Replace(good, broken[0], broken[1], 1)
		if text == good {
			t.Errorf("the example configuration does not contain %s", broken[0])
		}
		fmt.Fprintf(&w, "# %.40q instead of %.40q\n%s", broken[1], broken[0], check(t, text, exampleOperator(t)))
	}
	expectGolden(t, "check_configurations.txt", []byte(w.String()))
}

// brokenOperatorsFiles holds an operator's file for each kind of error.
var brokenOperatorsFiles = []string{
	"{\n \"stores\": [\n  {\"uid\": \"s-1\"}]}",
	"{\n \"stores\": [\n  {\"uid\": \"s-1\", \"listed\": true},\n  {\"uid\": \"s-1\", \"listed\": true}]}",
	"{\n \"stores\": [\n  {\"uid\": \"s-1\",\n   \"addresses\": [\"nowhere\"]}]}",
	"{\n \"stores\": [\n  {\"uid\": \"s-1\", \"listed\": true,\n   \"weight\": 0}]}",
	"{\n \"stroes\": []}",
	"{\n \"stores\": [\n  {\"addresses\": []}]}",
	"{\n \"shared\": {\n  \"lease\": \"yes\"}}",
	"{\n \"shared\": {\n  \"keep_ms\": 1}}",
	"{\n \"stores\": [,]}",
	"{\n \"stores\": [\n  {\"uid\": \"s-1\", \"listed\": true, \"password_file\": \"none.txt\"}]}",
	"{\n \"stores\": [\n  {\"uid\": \"s-1\", \"listed\": true, \"tls\": {\"cert_file\": \"a\"}}]}",
	"{\n \"stores\": [\n  {\"uid\": \"s-1\", \"listed\": true, \"tls\": {\"ca_file\": \"none.pem\"}}]}",
	"{\n \"stores\": [\n  {\"uid\": \"s-1\", \"listed\": true, \"tls\": {\"ca_file\": \"operator.json\"}}]}",
	"{\n \"stores\": [\n  {\"uid\": \"s-1\", \"listed\": true,\n   " +
		"\"tls\": {\"cert_file\": \"a\", \"key_file\": \"b\"}}]}",
	"{\n \"tls\": {\"cert_file\": \"a\", \"key_file\": \"b\",\n  \"client\": \"required\"}}",
	"{\n \"tls\": {\"cert_file\": \"a\"}}",
	"{\n \"tls\": {\"cert_file\": \"a\", \"key_file\": \"b\",\n  \"client\": \"perhaps\"}}",
	"{\n \"tls\": {\"cert_file\": \"a\", \"key_file\": \"b\",\n  \"min_version\": \"1.1\"}}",
	"{\n \"admission\": {\n  \"known\": [\"10.0.0.1\", \"10.0.0.1\"]}}",
	"{\n \"admission\": {\"remember\": 1,\n  \"reserve\": 5}}",
	"{\n \"admission\": {\n  \"burst\": 5}}",
	"{\n \"admission\": {\"views\": 5,\n  \"views_per_address\": 6}}",
	"{\n \"admission\": {\n  \"per_address\": 0}}",
	"[]",
	"\n",
}

func TestCheckOfBrokenOperatorsFiles(t *testing.T) {
	t.Parallel()
	var w strings.Builder
	for _, text := range brokenOperatorsFiles {
		fmt.Fprintf(&w, "# %q\n%s", text, check(t, exampleConfiguration(t), text))
	}
	expectGolden(t, "check_operators_files.txt", []byte(w.String()))
}
