package messages

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// peerMessageFields holds the encoded field names of a PeerMessage, by path. The path ""
// denotes the message itself, and "[]" denotes the elements of a list. A release must not
// rename or remove a field, because a controller of another release silently ignores
// unknown fields.
var peerMessageFields = map[string][]string{
	"": {
		"After", "Ask", "Cancel", "From", "Ping", "Status", "Submit", "Tell", "Version", "Views", "Why",
	},
	"/Ask": {"IDs"},
	"/Ping": {
		"Boot", "Cloud", "Groups", "Heard", "Level", "Loads", "Offer", "Parts", "Puts", "StoreBad", "StoreOK", "Terms",
		"WorkersOK",
	},
	"/Ping/Groups[]":         {"Key", "Kinds", "Mark", "To"},
	"/Ping/Groups[]/Kinds[]": {"N", "Spot", "Type", "Zone"},
	"/Ping/Heard":            {anyText}, // map from node to milliseconds
	"/Ping/Loads[]":          {"Coming", "Demand", "Have", "Part"},
	"/Ping/Parts[]":          {"Part", "Term"},
	"/Submit":                {"ID", "Spec"},
	"/Submit/Spec": {
		"at", "aw", "c", "ck", "dl", "gb", "im", "n", "pr", "r", "rt", "sc", "so", "sp", "sv", "tm", "ty", "z",
	},
	"/Submit/Spec/r": {"CPU", "GPU", "Mem"},
	"/Tell":          {"Keys"},
	"/Tell/Keys[]":   {"Key", "Mark", "Value"},
	"/Views[]":       {"Done", "ID", "Running", "Status"},
}

// anyText is the value of all strings in the test message.
const anyText = "any text"

// TestPeerMessageFieldNames checks that the encoded names of all fields stay as they are:
// a renamed field would be lost between controllers of different releases.
func TestPeerMessageFieldNames(t *testing.T) {
	var message PeerMessage
	setAllFields(t, reflect.ValueOf(&message).Elem())
	encoded, err := cbor.Marshal(message)
	if err != nil {
		t.Fatal(err)
	}
	var decoded any
	if err := cbor.Unmarshal(encoded, &decoded); err != nil {
		t.Fatal(err)
	}
	fields := map[string][]string{}
	collectFields(decoded, "", fields)
	for _, path := range slices.Sorted(maps.Keys(fields)) {
		if want := peerMessageFields[path]; !slices.Equal(fields[path], want) {
			t.Errorf("fields of %q: %q, want %q", path, fields[path], want)
		}
	}
	for path := range peerMessageFields {
		if fields[path] == nil {
			t.Errorf("no fields at path %q", path)
		}
	}
}

// setAllFields sets a value to a non-zero value, including all nested fields and elements.
func setAllFields(t *testing.T, value reflect.Value) {
	t.Helper()
	switch value.Kind() { //nolint:exhaustive // the default case reports kinds that no message contains
	case reflect.Bool:
		value.SetBool(true)
	case reflect.Int, reflect.Int64:
		value.SetInt(1)
	case reflect.Uint8, reflect.Uint64:
		value.SetUint(1)
	case reflect.Float64:
		value.SetFloat(1)
	case reflect.String:
		value.SetString(anyText)
	case reflect.Pointer:
		value.Set(reflect.New(value.Type().Elem()))
		setAllFields(t, value.Elem())
	case reflect.Slice:
		value.Set(reflect.MakeSlice(value.Type(), 1, 1))
		setAllFields(t, value.Index(0))
	case reflect.Array:
		for i := range value.Len() {
			setAllFields(t, value.Index(i))
		}
	case reflect.Map:
		key, element := reflect.New(value.Type().Key()).Elem(), reflect.New(value.Type().Elem()).Elem()
		setAllFields(t, key)
		setAllFields(t, element)
		value.Set(reflect.MakeMap(value.Type()))
		value.SetMapIndex(key, element)
	case reflect.Struct:
		for i := range value.NumField() {
			setAllFields(t, value.Field(i))
		}
	default:
		t.Fatalf("unsupported type %v", value.Type())
	}
}

// collectFields adds the sorted keys of each map in a decoded value to fields, by the
// path of the map.
func collectFields(decoded any, path string, fields map[string][]string) {
	switch decoded := decoded.(type) {
	case map[any]any:
		var names []string
		for key, value := range decoded {
			name := fmt.Sprint(key)
			names = append(names, name)
			collectFields(value, path+"/"+name, fields)
		}
		slices.Sort(names)
		fields[path] = names
	case []any:
		for _, element := range decoded {
			collectFields(element, path+"[]", fields)
		}
	}
}
