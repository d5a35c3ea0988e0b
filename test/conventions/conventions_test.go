// Package conventions_test checks conventions of the project that no linter covers: code uses no withdrawn words, and
// pages name only files and tests that exist.
package conventions_test

import (
	"go/scanner"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// root is the root of the module.
const root = "../.."

// withdrawnPattern returns a pattern that matches the withdrawn words; docs/glossary.md has the terms to use instead.
func withdrawnPattern(t *testing.T) *regexp.Regexp {
	t.Helper()
	text, err := os.ReadFile("testdata/withdrawn.txt")
	if err != nil {
		t.Fatal(err)
	}
	return regexp.MustCompile(`\b(` + strings.Join(strings.Fields(string(text)), "|") + `)\b`)
}

// findWithdrawn returns the withdrawn words in the identifiers and comments of a Go file, with their positions. It
// skips strings, which hold texts of protocols and configuration keys that must not change.
func findWithdrawn(withdrawn *regexp.Regexp, source []byte) (found []string) {
	var lexer scanner.Scanner
	files := token.NewFileSet()
	lexer.Init(files.AddFile("", files.Base(), len(source)), source, nil, scanner.ScanComments)
	for {
		position, kind, text := lexer.Scan()
		if kind == token.EOF {
			return found
		}
		if kind != token.IDENT && kind != token.COMMENT {
			continue
		}
		for _, word := range withdrawn.FindAllString(text, -1) {
			found = append(found, files.Position(position).String()+": "+word)
		}
	}
}

// isAdapter reports whether a file implements a format of the platform, and may use the platform's words.
func isAdapter(path string) bool {
	return strings.Contains(path, "simwire") || strings.HasPrefix(filepath.Base(path), "wireformat")
}

func TestNoWithdrawnWords(t *testing.T) {
	withdrawn := withdrawnPattern(t)
	checked := 0
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || filepath.Ext(path) != ".go" || isAdapter(path) {
			return err
		}
		source, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		checked++
		for _, word := range findWithdrawn(withdrawn, source) {
			t.Errorf("%s:%s is a withdrawn word, see docs/glossary.md", path, word)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if checked < 100 {
		t.Errorf("only %d files were checked", checked)
	}
}

func TestWithdrawnWordsAreFound(t *testing.T) {
	source, err := os.ReadFile("testdata/planted.txt")
	if err != nil {
		t.Fatal(err)
	}
	found := findWithdrawn(withdrawnPattern(t), source)
	want := []string{"3:1", "3:1", "4:6"} // not the string in line 4
	for i := range found {
		found[i], _, _ = strings.Cut(found[i], ": ")
	}
	if !slices.Equal(found, want) {
		t.Errorf("found withdrawn words at %q, want %q", found, want)
	}
}

// namedFile matches a file or folder of the project that a page names.
var namedFile = regexp.MustCompile("`((?:cmd|internal|policy|docs|deploy|test|\\.ci)/[A-Za-z0-9_./-]*[A-Za-z0-9_])`")

// namedTest matches a test, example or fuzz test that a page names, with or without a subtest after a slash.
var namedTest = regexp.MustCompile("`((?:Test|Example|Fuzz)[A-Z_][A-Za-z0-9_]*)(?:/[^`]*)?`")

// pages returns the paths of the project's pages, without those about the past (incidents, results, changes).
func pages(t *testing.T) []string {
	t.Helper()
	list := []string{filepath.Join(root, "README.md"), filepath.Join(root, "CONTRIBUTING.md")}
	for _, pattern := range []string{"docs/*.md", "docs/operate/*.md"} {
		found, err := filepath.Glob(filepath.Join(root, pattern))
		if err != nil || len(found) == 0 {
			t.Fatalf("%s: no pages: %v", pattern, err)
		}
		list = append(list, found...)
	}
	return list
}

func TestPagesNameFilesThatExist(t *testing.T) {
	for _, page := range pages(t) {
		text, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for _, match := range namedFile.FindAllSubmatch(text, -1) {
			if _, err := os.Stat(filepath.Join(root, string(match[1]))); err != nil {
				t.Errorf("%s names %s, which does not exist", page, match[1])
			}
		}
	}
}

func TestPagesNameTestsThatExist(t *testing.T) {
	incidents, err := filepath.Glob(filepath.Join(root, "docs", "incidents", "h*.md"))
	if err != nil {
		t.Fatal(err)
	}
	existing := testFunctions(t)
	for _, page := range append(pages(t), incidents...) {
		text, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for _, match := range namedTest.FindAllSubmatch(text, -1) {
			if name := string(match[1]); !existing[name] {
				t.Errorf("%s names %s, which does not exist", page, name)
			}
		}
	}
}

// testDeclaration matches the declaration of a test function.
var testDeclaration = regexp.MustCompile(`(?m)^func ((?:Test|Example|Fuzz)[A-Za-z0-9_]*)\(`)

// testFunctions returns the names of all test functions of the project.
func testFunctions(t *testing.T) map[string]bool {
	t.Helper()
	names := map[string]bool{}
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		source, err := os.ReadFile(path)
		for _, match := range testDeclaration.FindAllSubmatch(source, -1) {
			names[string(match[1])] = true
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return names
}
