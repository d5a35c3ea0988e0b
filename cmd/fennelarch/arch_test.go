package main

import (
	"encoding/json"
	"io"
	"os/exec"
	"slices"
	"strings"
	"testing"
)

type pack struct {
	ImportPath string
	Imports    []string
	Deps       []string
}

// Decisions import nothing that does or waits, and the service never imports its own proof.
func TestArchitecture(t *testing.T) {
	out, err := exec.Command("go", "list", "-json=ImportPath,Imports,Deps", "fennelarch/...").Output()
	if err != nil {
		t.Fatal(err)
	}
	seen := map[string]bool{}
	for d := json.NewDecoder(strings.NewReader(string(out))); ; {
		var p pack
		if err := d.Decode(&p); err == io.EOF {
			break
		} else if err != nil {
			t.Fatal(err)
		}
		seen[p.ImportPath] = true
		if strings.HasPrefix(p.ImportPath, "fennelarch/policy/") {
			for _, i := range p.Imports {
				for _, bad := range []string{"net", "os", "sync", "context", "log", "io", "go.uber.org/zap", "math/rand", "math/rand/v2", "fennelarch/internal"} {
					if i == bad || strings.HasPrefix(i, bad+"/") {
						t.Errorf("%s imports %s", p.ImportPath, i)
					}
				}
			}
		}
		if p.ImportPath == "fennelarch/cmd/fennelarch" || p.ImportPath == "fennelarch/cmd/sim-adapter" {
			for _, i := range p.Deps {
				if strings.HasPrefix(i, "fennelarch/internal/fake") || strings.HasPrefix(i, "fennelarch/internal/testbed") {
					t.Errorf("%s needs %s", p.ImportPath, i)
				}
			}
		}
		if strings.HasPrefix(p.ImportPath, "fennelarch/internal/fake") {
			for _, i := range p.Imports {
				if strings.HasPrefix(i, "fennelarch/") && !slices.Contains([]string{"fennelarch/internal/resp"}, i) {
					t.Errorf("%s knows %s", p.ImportPath, i)
				}
			}
		}
		frontends := []string{"frontend", "upstream", "discovery", "sharedstore", "gateway", "media", "disk"}
		if name, is := strings.CutPrefix(p.ImportPath, "fennelarch/internal/"); is && slices.Contains(frontends, name) {
			for _, i := range p.Imports {
				if other, is := strings.CutPrefix(i, "fennelarch/internal/"); is && slices.Contains(frontends, other) {
					t.Errorf("%s knows %s", p.ImportPath, i)
				}
			}
		}
	}
	if !seen["fennelarch/policy/sharedstore"] || !seen["fennelarch/internal/fake/redis"] {
		t.Error("not all packages were looked at")
	}
}
