package main

import (
	"encoding/json"
	"errors"
	"io"
	"os/exec"
	"slices"
	"strings"
	"testing"
)

// goPackage is what `go list` tells of a package.
type goPackage struct {
	ImportPath string
	Imports    []string
	Deps       []string
}

const (
	policyPrefix   = "fennelarch/policy/"
	internalPrefix = "fennelarch/internal/"
	fakePrefix     = "fennelarch/internal/fake"
	testbedPrefix  = "fennelarch/internal/testbed"
)

// notInPolicy are packages with side effects, or that wait: decisions must not import them, nor any below them.
var notInPolicy = []string{
	"net", "os", "sync", "context", "log", "io", "go.uber.org/zap", "math/rand", "math/rand/v2", "fennelarch/internal",
}

// adapters are the packages of internal that speak a protocol each, and must not know each other.
var adapters = []string{"frontend", "upstream", "discovery", "sharedstore", "gateway", "media", "disk"}

// Decisions import nothing that has side effects or waits, adapters do not know each other, and the service does not
// need its own tests and experiments.
func TestArchitecture(t *testing.T) {
	packages := listPackages(t)
	for _, pkg := range packages {
		for _, rule := range []func(pkg goPackage) []string{
			forbiddenInPolicy, forbiddenInPrograms, forbiddenInFakes, forbiddenInAdapters,
		} {
			for _, forbidden := range rule(pkg) {
				t.Errorf("%s needs %s", pkg.ImportPath, forbidden)
			}
		}
	}
	for _, path := range []string{"fennelarch/policy/sharedstore", "fennelarch/internal/fake/redis"} {
		if !slices.ContainsFunc(packages, func(pkg goPackage) bool { return pkg.ImportPath == path }) {
			t.Errorf("%s was not checked", path)
		}
	}
}

func listPackages(t *testing.T) []goPackage {
	t.Helper()
	output, err := exec.Command("go", "list", "-json=ImportPath,Imports,Deps", "fennelarch/...").Output()
	if err != nil {
		t.Fatal(err)
	}
	var packages []goPackage
	for decoder := json.NewDecoder(strings.NewReader(string(output))); ; {
		var pkg goPackage
		if err := decoder.Decode(&pkg); errors.Is(err, io.EOF) {
			return packages
		} else if err != nil {
			t.Fatal(err)
		}
		packages = append(packages, pkg)
	}
}

// filter returns the paths for which a condition holds.
func filter(paths []string, condition func(path string) bool) (list []string) {
	for _, path := range paths {
		if condition(path) {
			list = append(list, path)
		}
	}
	return list
}

func forbiddenInPolicy(pkg goPackage) []string {
	if !strings.HasPrefix(pkg.ImportPath, policyPrefix) {
		return nil
	}
	return filter(pkg.Imports, func(path string) bool {
		return slices.ContainsFunc(notInPolicy, func(forbidden string) bool {
			return path == forbidden || strings.HasPrefix(path, forbidden+"/")
		})
	})
}

func forbiddenInPrograms(pkg goPackage) []string {
	if pkg.ImportPath != "fennelarch/cmd/fennelarch" && pkg.ImportPath != "fennelarch/cmd/sim-adapter" {
		return nil
	}
	return filter(pkg.Deps, func(path string) bool {
		return strings.HasPrefix(path, fakePrefix) || strings.HasPrefix(path, testbedPrefix)
	})
}

// forbiddenInFakes has fake servers written from the published protocol, not from the code that speaks to them.
func forbiddenInFakes(pkg goPackage) []string {
	if !strings.HasPrefix(pkg.ImportPath, fakePrefix) {
		return nil
	}
	return filter(pkg.Imports, func(path string) bool {
		return strings.HasPrefix(path, "fennelarch/") && path != "fennelarch/internal/resp"
	})
}

func forbiddenInAdapters(pkg goPackage) []string {
	if !isAdapter(pkg.ImportPath) {
		return nil
	}
	return filter(pkg.Imports, isAdapter)
}

func isAdapter(path string) bool {
	name, isInternal := strings.CutPrefix(path, internalPrefix)
	return isInternal && slices.Contains(adapters, name)
}
