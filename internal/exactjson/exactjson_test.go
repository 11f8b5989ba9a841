package exactjson

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"
)

// TestUnmarshal checks that names are matched exactly, and that the last of several members
// with the same name counts, as in encoding/json.
func TestUnmarshal(t *testing.T) {
	target := struct {
		Value int `json:"value"`
	}{Value: 1}
	for text, want := range map[string]int{
		`{"Value":2,"VALUE":[]}`: 1,
		`{"value":2,"Value":3}`:  2,
		`{"value":2,"value":4}`:  4,
	} {
		got := target
		if err := Unmarshal([]byte(text), &got); err != nil || got.Value != want {
			t.Errorf("%s: %d, %v; want %d", text, got.Value, err, want)
		}
	}
}

// TestAllDecodersMatchExactly checks that no source decodes with encoding/json, which
// matches names without regard to case.
func TestAllDecodersMatchExactly(t *testing.T) {
	const root = "../.."
	checked := 0
	for _, directory := range []string{"cmd", "internal"} {
		err := filepath.WalkDir(filepath.Join(root, directory), func(file string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(file, ".go") {
				return err
			}
			checked++
			return checkDecoders(t, file)
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	if checked == 0 {
		t.Error("no source was found")
	}
}

func checkDecoders(t *testing.T, file string) error {
	t.Helper()
	parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.SkipObjectResolution)
	if err != nil {
		return err
	}
	for node := range ast.Preorder(parsed) {
		selector, ok := node.(*ast.SelectorExpr)
		if !ok || selector.Sel.Name != "Unmarshal" && selector.Sel.Name != "NewDecoder" {
			continue
		}
		inThisPackage := filepath.Base(file) == "exactjson.go"
		if name, ok := selector.X.(*ast.Ident); ok && name.Name == "json" && !inThisPackage {
			t.Errorf("%s uses json.%s; use package exactjson", file, selector.Sel.Name)
		}
	}
	return nil
}
