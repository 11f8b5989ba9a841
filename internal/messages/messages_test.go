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

// TestEventsAndEffects checks that every type that is declared as an event or an
// effect is in the table, and is one of them only: an effect that is handed to
// the state machine as an event has to fail to compile.
func TestEventsAndEffects(t *testing.T) {
	events := []Event{
		Tick{}, Submit{}, Query{}, Cancel{}, Health{}, Heartbeat{}, PeerRequest{}, ProcessLoad{}, Reply{},
	}
	effects := []Effect{
		StoreTxn{}, StoreGet{}, StoreList{}, StoreWatch{},
		CloudListMachineTypes{}, CloudScaleOut{}, CloudScaleIn{}, CloudListMachines{},
		PushCommands{}, QueryWorkerStatus{}, PeerCall{}, Respond{}, Log{},
	}
	for _, event := range events {
		if _, isEffect := event.(Effect); isEffect {
			t.Errorf("event %T is an effect as well", event)
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

// typeNames returns the names of the values' types in order.
func typeNames[T any](values []T) []string {
	var names []string
	for _, value := range values {
		names = append(names, reflect.TypeOf(value).Name())
	}
	slices.Sort(names)
	return names
}

// markedTypes returns the types that the package's sources give a marker method,
// by the method's name.
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

// receiverName returns the name of the type that a method belongs to.
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
