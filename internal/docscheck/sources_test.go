package docscheck

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

// skippedDirectories holds the names of directories without sources: Git's data,
// recorded test runs and build output.
var skippedDirectories = map[string]bool{".git": true, "journal": true, "target": true}

// testDeclaration matches the names of functions that "go test" runs.
var testDeclaration = regexp.MustCompile(`^(Test|Benchmark|Fuzz|Example)`)

// walkFiles calls visit with the path of each file outside skippedDirectories.
func walkFiles(t *testing.T, visit func(file string)) {
	t.Helper()
	err := filepath.WalkDir(root, func(file string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case !entry.IsDir():
			visit(file)
		case skippedDirectories[entry.Name()]:
			return fs.SkipDir
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

// fileNames returns the base names of the repository's files.
func fileNames(t *testing.T) map[string]bool {
	t.Helper()
	names := map[string]bool{}
	walkFiles(t, func(file string) { names[filepath.Base(file)] = true })
	return names
}

// declaredTests returns the names of all tests, benchmarks, fuzz tests and examples.
func declaredTests(t *testing.T) []string {
	t.Helper()
	var names []string
	walkFiles(t, func(file string) {
		if !strings.HasSuffix(file, "_test.go") {
			return
		}
		for _, declaration := range parseFile(t, file).Decls {
			function, ok := declaration.(*ast.FuncDecl)
			if ok && function.Recv == nil && testDeclaration.MatchString(function.Name.Name) {
				names = append(names, function.Name.Name)
			}
		}
	})
	return names
}

// stringLiterals returns the values of all string literals in sources other than tests.
func stringLiterals(t *testing.T) map[string]bool {
	t.Helper()
	literals := map[string]bool{}
	walkFiles(t, func(file string) {
		if !strings.HasSuffix(file, ".go") || strings.HasSuffix(file, "_test.go") {
			return
		}
		for node := range ast.Preorder(parseFile(t, file)) {
			if literal, ok := node.(*ast.BasicLit); ok && literal.Kind == token.STRING {
				literals[unquote(t, literal.Value)] = true
			}
		}
	})
	return literals
}

func unquote(t *testing.T, literal string) string {
	t.Helper()
	value, err := strconv.Unquote(literal)
	if err != nil {
		t.Fatalf("%s: %v", literal, err)
	}
	return value
}

func parseFile(t *testing.T, file string) *ast.File {
	t.Helper()
	parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.SkipObjectResolution)
	if err != nil {
		t.Fatal(err)
	}
	return parsed
}
