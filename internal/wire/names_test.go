package wire

import (
	"reflect"
	"testing"

	"stairrelay/internal/exactjson/exactjsontest"
)

// decoders holds the decoders of all bodies that the program receives, each with a valid
// body.
var decoders = map[string]struct {
	decode func([]byte) (any, error)
	body   string
}{
	"heartbeat": {
		func(body []byte) (any, error) {
			status, err := DecodeHeartbeatStatus(body)
			status.FieldOverhead = 0 // depends on the size of unknown fields
			return status, err
		},
		`{"coach":"m-1","addr":"a:1","fleet":"g8","yard":"a","standby":true,"shift":1,"stamp":8,"baton":4,"recallS":null,
			"legs":[{"leg":"j-1/3","boarding":2,"status":"ended","cause":"stopped","stored":true}]}`,
	},
	"submission": {
		func(body []byte) (any, error) { return DecodeSubmission(body) },
		`{"id":"j-2","route":"train","crew":"vision","shape":"sweep","urgency":"urgent","legs":16,"vcpus":8,"accelerators":1,
			"memoryGb":64,"bundle":"img-07","sizeGb":6.2,"fleets":["g8"],"yard":null,"samePlace":true,"scatter":false,
			"standby":true,"runtimeS":240,"waypointS":30,"stowS":4,"dueS":900,"awaits":["j-1"]}`,
	},
	"machine types": {
		func(body []byte) (any, error) { return DecodeMachineTypes(body) },
		`{"fleets":[{"name":"g8","vcpus":96,"accelerators":8,"memoryGb":768,"cacheGb":200,"pullGbPerS":1,"rate":12,
			"spotPrice":4.5,"bootS":45,"yards":["a"]}]}`,
	},
	"scale-out": {
		func(body []byte) (any, error) { return DecodeScaleOutResponse(body) },
		`{"coaches":["m-1"]}`,
	},
	"out of capacity": {
		func(body []byte) (any, error) { return IsOutOfCapacity(body), nil },
		`{"error":"no capacity"}`,
	},
	"machine list": {
		func(body []byte) (any, error) { return DecodeMachinePage(body) },
		`{"coaches":[{"id":"m-1","addr":"a:1","fleet":"g8","yard":"a","standby":true,"status":"running","ageS":61.5}],"truncated":true}`,
	},
	"transaction": {
		func(body []byte) (any, error) { return DecodeTxnResponse(body) },
		`{"failed":["a"],"epoch":43}`,
	},
	"key": {
		func(body []byte) (any, error) { return DecodeKV(body) },
		`{"key":"a","value":1,"mark":4,"permit":7}`,
	},
	"page of keys": {
		func(body []byte) (any, error) { return DecodeKVPage(body) },
		`{"items":[{"key":"a","value":1,"mark":4}],"truncated":true,"epoch":43}`,
	},
	"changes": {
		func(body []byte) (any, error) { return DecodeKVPage(body) },
		`{"events":[{"set":"a","value":1,"mark":4},{"drop":"b","mark":5}],"epoch":43}`,
	},
}

// TestFieldNamesMatchExactly guards against the fault of review/5: an unknown field whose name
// differs from a known one by case was taken for it.
func TestFieldNamesMatchExactly(t *testing.T) {
	for name, test := range decoders {
		t.Run(name, func(t *testing.T) {
			want, err := test.decode([]byte(test.body))
			if err != nil {
				t.Fatal(err)
			}
			extended, err := exactjsontest.AddOtherSpellings([]byte(test.body))
			if err != nil {
				t.Fatal(err)
			}
			got, err := test.decode(extended)
			if err != nil || !reflect.DeepEqual(got, want) {
				t.Errorf("with other spellings: decoded %+v, %v; want %+v", got, err, want)
			}
		})
	}
}

// TestUnknownFieldIsNoPreemptionNotice guards against the heartbeat of review/5, after which
// every machine was drained and released.
func TestUnknownFieldIsNoPreemptionNotice(t *testing.T) {
	status, err := DecodeHeartbeatStatus([]byte(`{"coach":"m-1","shift":1,"recallS":null,"recalls":0,"legs":[]}`))
	if err != nil || status.PreemptionNotice != noPreemptionNotice {
		t.Errorf("preemption notice %v, %v; want none", status.PreemptionNotice, err)
	}
}
