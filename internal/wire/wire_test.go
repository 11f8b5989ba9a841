package wire

import (
	"strings"
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
)

const validSubmission = `{"id":"j-000412","route":"train","crew":"vision","shape":"sweep","urgency":"urgent","legs":16,
 "vcpus":8.0,"accelerators":1.0,"memoryGb":64.0,"bundle":"img-07","sizeGb":6.2,"fleets":["g8"],"yard":null,
 "samePlace":true,"scatter":false,"standby":true,"runtimeS":240.0,"waypointS":30.0,"stowS":4.0,"dueS":900.0,"later":1}`

// TestDecodeSubmission checks the fields of a decoded submission. Unknown fields are
// ignored.
func TestDecodeSubmission(t *testing.T) {
	spec, err := DecodeSubmission([]byte(validSubmission))
	if err != nil {
		t.Fatal(err)
	}
	request := cluster.Resources{CPU: 8_000_000, GPU: 1_000_000, Memory: 64_000_000}
	if spec.ID != "j-000412" || spec.Team != "vision" || spec.Priority != cluster.Urgent || spec.Tasks != 16 || spec.ResourceRequest != request ||
		!spec.Colocate || spec.Spread || !spec.Spot || spec.Zone != "" || spec.DeadlineSeconds != 900 || spec.MachineTypes[0] != "g8" {
		t.Errorf("decoded %+v", spec)
	}
}

// TestInvalidSubmissions checks that invalid submissions are rejected, and that a valid ID
// is still returned, since the job may already exist.
func TestInvalidSubmissions(t *testing.T) {
	for name, test := range map[string]struct {
		from, to string
		id       bool
	}{
		"not JSON":         {`{"id"`, `"id"`, false},
		"array":            {validSubmission, `[1]`, false},
		"null":             {validSubmission, `null`, false},
		"invalid id":       {"j-000412", "j-0004x2", false},
		"numeric id":       {`"j-000412"`, "412", false},
		"unknown shape":    {"sweep", "gang", true},
		"no urgency":       {`"urgency":"urgent",`, "", true},
		"unknown urgency":  {`"urgent"`, `"now"`, true},
		"no tasks":         {`"legs":16,`, "", true},
		"0 tasks":          {`"legs":16`, `"legs":0`, true},
		"fractional tasks": {`"legs":16`, `"legs":1.5`, true},
		"too many tasks":   {`"legs":16`, `"legs":100001`, true},
		"string for cpus":  {`"vcpus":8.0`, `"vcpus":"8"`, true},
		"negative cpus":    {`"vcpus":8.0`, `"vcpus":-1`, true},
		"null flag":        {`"samePlace":true`, `"samePlace":null`, true},
		"no run time":      {`"runtimeS":240.0,`, "", true},
		"deadline 0":       {`"dueS":900.0`, `"dueS":0`, true},
		"long image":       {"img-07", strings.Repeat("x", 300), true},
		"types not a list": {`["g8"]`, `"g8"`, true},
	} {
		body := strings.Replace(validSubmission, test.from, test.to, 1)
		spec, err := DecodeSubmission([]byte(body))
		if err == nil {
			t.Errorf("%s: accepted", name)
		}
		if (spec.ID != "") != test.id {
			t.Errorf("%s: id %q", name, spec.ID)
		}
	}
}

// TestDecodeDependencies checks that duplicate dependencies are dropped, and that
// malformed ones and the job itself are rejected.
func TestDecodeDependencies(t *testing.T) {
	for list, want := range map[string]string{
		"":     "",
		"null": "", "[]": "",
		`["j-000398"]`:                       "j-000398",
		`["j-000398","j-000405"]`:            "j-000398 j-000405",
		`["j-000405","j-000398","j-000405"]`: "j-000405 j-000398",
		`["j-000412"]`:                       "rejected", // the job itself
		`["j-000398","j-000412"]`:            "rejected",
		`["j-0004x2"]`:                       "rejected",
		`["j-000398",""]`:                    "rejected",
		`["j-000398",null]`:                  "rejected",
		`[398]`:                              "rejected",
		`[["j-000398"]]`:                     "rejected",
		`"j-000398"`:                         "rejected",
		`{"j-000398":true}`:                  "rejected",
		`398`:                                "rejected",
		`true`:                               "rejected",
		`["j-000398 "]`:                      "rejected",
		`["jobs/j-000398"]`:                  "rejected",
	} {
		body := validSubmission
		if list != "" {
			body = strings.Replace(validSubmission, `"later":1`, `"awaits":`+list, 1)
		}
		spec, err := DecodeSubmission([]byte(body))
		if spec.ID != "j-000412" || (err != nil) != (want == "rejected") {
			t.Errorf("%s: id %q, %v", list, spec.ID, err)
			continue
		}
		var got []string
		for _, id := range spec.Dependencies {
			got = append(got, string(id))
		}
		if err == nil && strings.Join(got, " ") != want {
			t.Errorf("%s: decoded %v", list, got)
		}
	}
}

// TestHeartbeatsAndResponses checks the decoding of heartbeats and the exact encoding of
// responses.
func TestHeartbeatsAndResponses(t *testing.T) {
	status, err := DecodeHeartbeatStatus([]byte(`{"coach":"m-000231","addr":"10.1.0.232:9000","fleet":"g8","yard":"a","standby":true,
	 "shift":1,"stamp":88,"baton":41,"recallS":12.5,"legs":[{"leg":"j-000412/3","boarding":2,"status":"running"},
	 {"leg":"j-000398/0","boarding":1,"status":"ended","cause":"stopped","stored":true},
	 {"leg":"j-000398/1","boarding":1,"status":"ended","cause":"melted"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	if status.Machine != "m-000231" || status.PreemptionNotice != 12.5 || status.FencingToken != 41 || len(status.Tasks) != 3 ||
		status.Tasks[0].Task != (cluster.TaskID{Job: "j-000412", Index: 3}) || !status.Tasks[1].Checkpointed || status.Tasks[2].Cause != cluster.CauseFailed {
		t.Errorf("decoded %+v", status)
	}
	for _, bad := range []string{`{}`, `[]`, `{"coach":"m-1","shift":0}`, `{"coach":"m/1","shift":1}`,
		`{"coach":"m-1","shift":1,"legs":[{"leg":"j-1","boarding":1,"status":"running"}]}`,
		`{"coach":"m-1","shift":1,"legs":[{"leg":"j-1/0","boarding":1,"status":"flying"}]}`} {
		if _, err := DecodeHeartbeatStatus([]byte(bad)); err == nil {
			t.Errorf("%s: accepted", bad)
		}
	}
	response := messages.HeartbeatResponse{FencingToken: 41, Commands: []cluster.Command{
		{Kind: cluster.Start, Task: cluster.TaskID{Job: "j-000412", Index: 4}, Attempt: 2},
		{Kind: cluster.Stop, Task: cluster.TaskID{Job: "j-000377", Index: 1}, Attempt: 1, GraceSeconds: 10},
		{Kind: cluster.Acknowledge, Task: cluster.TaskID{Job: "j-000398"}, Attempt: 1}}}
	want := `{"baton":41,"dispatches":[{"verb":"start","leg":"j-000412/4","boarding":2},` +
		`{"verb":"halt","leg":"j-000377/1","boarding":1,"layoverS":10},{"verb":"reap","leg":"j-000398/0","boarding":1}]}`
	if got := string(EncodeHeartbeatResponse(200, response)); got != want {
		t.Errorf("encoded %s", got)
	}
	if got := string(EncodeHeartbeatResponse(421, messages.HeartbeatResponse{RedirectTo: "landing-2"})); got != `{"dispatcher":"landing-2"}` {
		t.Errorf("encoded %s", got)
	}
	if got := string(EncodeHeartbeatResponse(421, messages.HeartbeatResponse{})); got != `{}` {
		t.Errorf("encoded %s", got)
	}
}

// TestIncompleteResponses checks that responses of the cloud and the store that lack
// required fields are errors, not empty results.
func TestIncompleteResponses(t *testing.T) {
	if _, err := DecodeScaleOutResponse([]byte(`{}`)); err == nil {
		t.Error("a scale-out without machines was accepted")
	}
	if _, err := DecodeTxnResponse([]byte(`{"failed":["a"]}`)); err == nil {
		t.Error("a transaction without a revision was accepted")
	}
	if _, err := DecodeKV([]byte(`{"key":"a","mark":3}`)); err == nil {
		t.Error("a key without a value was accepted")
	}
	if _, err := DecodeKVPage([]byte(`{"items":[]}`)); err == nil {
		t.Error("a page without a revision was accepted")
	}
	if _, err := DecodeMachineTypes([]byte(`{"fleets":[{"name":"x","vcpus":0}]}`)); err == nil {
		t.Error("a machine type without CPUs was accepted")
	}
	page, err := DecodeKVPage([]byte(`{"epoch":433,"events":[{"set":"c/9","value":{"a":1},"mark":433},{"drop":"c/d","mark":432}]}`))
	items := page.Items
	if err != nil || page.Revision != 433 || len(items) != 2 || items[0].Key != "c/9" || items[1].Key != "c/d" || items[1].Value != nil {
		t.Errorf("decoded %+v %v", items, err)
	}
}
