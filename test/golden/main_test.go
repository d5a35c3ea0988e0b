// Package golden_test compares what the programs read and write with golden files, byte for byte. It uses only the
// published formats and imports nothing from this module, so that a change inside the module needs no change here.
// The golden files are in testdata; go test -update rewrites them.
package golden_test

import (
	"bytes"
	"flag"
	"fmt"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// maxWait is how long a test waits for a condition before it fails.
const maxWait = 10 * time.Second

var (
	moduleRoot       string // the folder that holds go.mod
	routerProgram    string // the built router program
	simulatorProgram string // the built simulator program
)

// TestMain builds the programs that the deployment names.
func TestMain(m *testing.M) {
	flag.Parse()
	folder, err := os.MkdirTemp("", "golden")
	if err == nil {
		err = build(folder)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// build finds the module and builds its router and simulator programs.
func build(folder string) error {
	var err error
	if moduleRoot, err = findModule(); err != nil {
		return err
	}
	deployment, err := os.ReadFile(filepath.Join(moduleRoot, "deploy", "balancer.toml"))
	if err != nil {
		return err
	}
	if routerProgram, err = buildProgram(folder, deployment, "run"); err != nil {
		return err
	}
	simulatorProgram, err = buildProgram(folder, deployment, "sim")
	return err
}

// findModule returns the closest parent folder that holds go.mod.
func findModule() (string, error) {
	folder, err := os.Getwd()
	if err != nil {
		return "", err
	}
	for {
		if _, err := os.Stat(filepath.Join(folder, "go.mod")); err == nil {
			return folder, nil
		}
		parent := filepath.Dir(folder)
		if parent == folder {
			return "", fmt.Errorf("no go.mod in a parent folder of the test")
		}
		folder = parent
	}
}

// buildProgram builds the program that the line with the given key in the deploy file starts, and returns its path.
func buildProgram(folder string, deployment []byte, key string) (string, error) {
	line := regexp.MustCompile(`(?m)^` + key + `\s*=\s*"exec bin/([a-z0-9_-]+)`)
	match := line.FindSubmatch(deployment)
	if match == nil {
		return "", fmt.Errorf("the deployment has no line %s = \"exec bin/...\"", key)
	}
	name := string(match[1])
	path := filepath.Join(folder, name)
	cmd := exec.Command("go", "build", "-o", path, "./cmd/"+name)
	cmd.Dir = moduleRoot
	if out, err := cmd.CombinedOutput(); err != nil {
		return "", fmt.Errorf("go build ./cmd/%s: %w\n%s", name, err, out)
	}
	return path, nil
}

// maxGoldenPlays is the maximum number of plays of a golden test that depends on time. If the machine pauses, the
// router considers a get from the store late and fills the copy instead, which changes the transcript. A difference
// with any other cause occurs in every play.
const maxGoldenPlays = 5

// expectGoldenPlay compares the result of play with a golden file. If they differ, it calls play again, up to
// maxGoldenPlays times; play must start from a new state each time.
func expectGoldenPlay(t *testing.T, name string, play func() []byte) {
	t.Helper()
	want, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil && !*update {
		t.Fatal(err)
	}
	got := play()
	for i := 1; i < maxGoldenPlays && !*update && !bytes.Equal(got, want); i++ {
		t.Logf("play %d differs from the golden file; the machine may have paused", i)
		got = play()
	}
	expectGolden(t, name, got)
}

// expectGolden compares got with a golden file, or writes the file if -update is set.
func expectGolden(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if bytes.Equal(got, want) {
		return
	}
	gotLines, wantLines := strings.Split(string(got), "\n"), strings.Split(string(want), "\n")
	for i := range max(len(gotLines), len(wantLines)) {
		if lineAt(gotLines, i) != lineAt(wantLines, i) {
			t.Errorf("%s differs at line %d:\n got %s\nwant %s", name, i+1, lineAt(gotLines, i), lineAt(wantLines, i))
			return
		}
	}
}

// lineAt returns one line, or a placeholder after the last line.
func lineAt(lines []string, i int) string {
	if i < len(lines) {
		return lines[i]
	}
	return "(no such line)"
}

// runOutput is the exit code and the output of a program.
type runOutput struct {
	code           int
	stdout, stderr string
}

// String returns the output as it is written to golden files.
func (r runOutput) String() string {
	return fmt.Sprintf("exit %d\nstdout: %s\nstderr: %s\n", r.code, r.stdout, r.stderr)
}

// run runs a program until it ends. In its messages, the name of the program is replaced by PROGRAM.
func run(t *testing.T, program string, env []string, input []byte, args ...string) runOutput {
	t.Helper()
	var stdout, stderr bytes.Buffer
	cmd := exec.Command(program, args...)
	cmd.Env = append(baseEnvironment(), env...)
	cmd.Stdin, cmd.Stdout, cmd.Stderr = bytes.NewReader(input), &stdout, &stderr
	if err := cmd.Run(); err != nil && cmd.ProcessState == nil {
		t.Fatal(err)
	}
	message := strings.ReplaceAll(stderr.String(), filepath.Base(program)+": ", "PROGRAM: ")
	return runOutput{cmd.ProcessState.ExitCode(), stdout.String(), message}
}

// baseEnvironment returns the test's environment without the variables that the programs read.
func baseEnvironment() (kept []string) {
	for _, variable := range os.Environ() {
		if !strings.HasPrefix(variable, "RELAY_") {
			kept = append(kept, variable)
		}
	}
	return kept
}

// waitFor waits until a condition holds, and fails the test after maxWait.
func waitFor(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(maxWait); !holds(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for: %s", what)
		}
	}
}

// sortedKeys returns the sorted keys of a map.
func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}
