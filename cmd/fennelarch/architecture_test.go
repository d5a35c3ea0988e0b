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

// goPackage holds the fields of a package that the test reads from go list.
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

// notInPolicy lists packages with side effects or blocking calls. Policy packages must not import them or their
// subpackages.
var notInPolicy = []string{
	"net", "os", "sync", "context", "log", "io", "go.uber.org/zap", "math/rand", "math/rand/v2", "fennelarch/internal",
}

// adapters lists the internal packages that implement one protocol each and must not import each other.
var adapters = []string{"frontend", "upstream", "discovery", "sharedstore", "gateway", "media", "disk"}

// Policy packages must not import packages with side effects or blocking calls, adapters must not import each other,
// fakes must not import the service, and the programs must not depend on fakes or the testbed.
func TestArchitecture(t *testing.T) {
	packages := listPackages(t)
	for _, pkg := range packages {
		for _, rule := range []func(pkg goPackage) []string{
			forbiddenInPolicy, forbiddenInPrograms, forbiddenInFakes, forbiddenInAdapters,
		} {
			for _, forbidden := range rule(pkg) {
				t.Errorf("%s must not depend on %s", pkg.ImportPath, forbidden)
			}
		}
	}
	for _, path := range []string{"fennelarch/policy/sharedstore", "fennelarch/internal/fake/redis"} {
		if !slices.ContainsFunc(packages, func(pkg goPackage) bool { return pkg.ImportPath == path }) {
			t.Errorf("go list did not report %s", path)
		}
	}
}

// listPackages returns all packages of the module.
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

// filter returns the paths that satisfy a condition.
func filter(paths []string, condition func(path string) bool) (list []string) {
	for _, path := range paths {
		if condition(path) {
			list = append(list, path)
		}
	}
	return list
}

// forbiddenInPolicy returns the imports of a policy package that have side effects or block.
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

// forbiddenInPrograms returns the fakes and testbed packages on which a program depends.
func forbiddenInPrograms(pkg goPackage) []string {
	if pkg.ImportPath != "fennelarch/cmd/fennelarch" && pkg.ImportPath != "fennelarch/cmd/sim-adapter" {
		return nil
	}
	return filter(pkg.Deps, func(path string) bool {
		return strings.HasPrefix(path, fakePrefix) || strings.HasPrefix(path, testbedPrefix)
	})
}

// forbiddenInFakes returns the imports of a fake from the service, except the RESP codec. Fakes are written from the
// published protocol, so they must not share other code with the service that they test.
func forbiddenInFakes(pkg goPackage) []string {
	if !strings.HasPrefix(pkg.ImportPath, fakePrefix) {
		return nil
	}
	return filter(pkg.Imports, func(path string) bool {
		return strings.HasPrefix(path, "fennelarch/") && path != "fennelarch/internal/resp"
	})
}

// forbiddenInAdapters returns the other adapters that an adapter imports.
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
