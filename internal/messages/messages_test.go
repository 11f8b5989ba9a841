package messages

import (
	"go/ast"
	"go/parser"
	"go/token"
	"maps"
	"path/filepath"
	"reflect"
	"slices"
	"testing"
)

// TestEventsAndEffects checks that the tables in the test list all events and effects, and
// that no event type is also an effect type.
func TestEventsAndEffects(t *testing.T) {
	events := []Event{
		Tick{}, Submit{}, Query{}, Cancel{}, Health{}, Heartbeat{}, OversizedHeartbeat{}, PeerRequest{}, ProcessLoad{}, Reply{},
	}
	effects := []Effect{
		StoreTxn{}, StoreGet{}, StoreList{}, StoreWatch{},
		CloudListMachineTypes{}, CloudScaleOut{}, CloudScaleIn{}, CloudListMachines{},
		PushCommands{}, QueryWorkerStatus{}, PeerCall{}, Respond{}, Log{},
	}
	for _, event := range events {
		if _, isEffect := event.(Effect); isEffect {
			t.Errorf("event %T is also an effect", event)
		}
	}
	declared := markedTypes(t)
	if got, want := typeNames(events), declared["isEvent"]; !slices.Equal(got, want) {
		t.Errorf("events in the table: %v, declared: %v", got, want)
	}
	if got, want := typeNames(effects), declared["isEffect"]; !slices.Equal(got, want) {
		t.Errorf("effects in the table: %v, declared: %v", got, want)
	}
}

// typeNames returns the sorted type names of the values.
func typeNames[T any](values []T) []string {
	var names []string
	for _, value := range values {
		names = append(names, reflect.TypeOf(value).Name())
	}
	slices.Sort(names)
	return names
}

// markedTypes maps the name of each method in the package to the sorted names of the types
// that have the method.
func markedTypes(t *testing.T) map[string][]string {
	t.Helper()
	sources, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	marked := map[string][]string{}
	for _, source := range sources {
		file, err := parser.ParseFile(token.NewFileSet(), source, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		for _, declaration := range file.Decls {
			if method, ok := declaration.(*ast.FuncDecl); ok && method.Recv != nil {
				marked[method.Name.Name] = append(marked[method.Name.Name], receiverName(method))
			}
		}
	}
	for names := range maps.Values(marked) {
		slices.Sort(names)
	}
	return marked
}

// receiverName returns the name of a method's receiver type.
func receiverName(method *ast.FuncDecl) string {
	receiver := method.Recv.List[0].Type
	if pointer, ok := receiver.(*ast.StarExpr); ok {
		receiver = pointer.X
	}
	if name, ok := receiver.(*ast.Ident); ok {
		return name.Name
	}
	return ""
}
