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

// TestDecodeSubmission checks what is read of a submission. Unknown fields are ignored.
func TestDecodeSubmission(t *testing.T) {
	spec, err := DecodeSubmission([]byte(validSubmission))
	if err != nil {
		t.Fatal(err)
	}
	request := cluster.Resources{CPU: 8_000_000, GPU: 1_000_000, Memory: 64_000_000}
	if spec.ID != "j-000412" || spec.Team != "vision" || spec.Priority != cluster.Urgent || spec.Tasks != 16 || spec.ResourceRequest != request ||
		!spec.Colocate || spec.Spread || !spec.Spot || spec.Zone != "" || spec.DeadlineSeconds != 900 || spec.MachineTypes[0] != "g8" {
		t.Errorf("read %+v", spec)
	}
}

// TestBadSubmissions checks that each is refused, and that the caller still gets a
// well-formed id, since it may be that of a known job.
func TestBadSubmissions(t *testing.T) {
	for name, test := range map[string]struct {
		from, to string
		id       bool
	}{
		"not JSON":       {`{"id"`, `"id"`, false},
		"array":          {validSubmission, `[1]`, false},
		"null":           {validSubmission, `null`, false},
		"bad id":         {"j-000412", "j-0004x2", false},
		"id a number":    {`"j-000412"`, "412", false},
		"other shape":    {"sweep", "gang", true},
		"no urgency":     {`"urgency":"urgent",`, "", true},
		"bad urgency":    {`"urgent"`, `"now"`, true},
		"no tasks":       {`"legs":16,`, "", true},
		"0 tasks":        {`"legs":16`, `"legs":0`, true},
		"half a task":    {`"legs":16`, `"legs":1.5`, true},
		"too many tasks": {`"legs":16`, `"legs":100001`, true},
		"text for cpus":  {`"vcpus":8.0`, `"vcpus":"8"`, true},
		"cpus below 0":   {`"vcpus":8.0`, `"vcpus":-1`, true},
		"null bool":      {`"samePlace":true`, `"samePlace":null`, true},
		"no run time":    {`"runtimeS":240.0,`, "", true},
		"deadline 0":     {`"dueS":900.0`, `"dueS":0`, true},
		"long image":     {"img-07", strings.Repeat("x", 300), true},
		"types a text":   {`["g8"]`, `"g8"`, true},
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

// TestDependencies checks that missing, null and empty mean none, that each job is listed
// once, and that a malformed id, or the job's own, is refused while the job's id is still
// given.
func TestDependencies(t *testing.T) {
	for list, want := range map[string]string{
		"":     "",
		"null": "", "[]": "",
		`["j-000398"]`:                       "j-000398",
		`["j-000398","j-000405"]`:            "j-000398 j-000405",
		`["j-000405","j-000398","j-000405"]`: "j-000405 j-000398",
		`["j-000412"]`:                       "refused", // its own
		`["j-000398","j-000412"]`:            "refused",
		`["j-0004x2"]`:                       "refused",
		`["j-000398",""]`:                    "refused",
		`["j-000398",null]`:                  "refused",
		`[398]`:                              "refused",
		`[["j-000398"]]`:                     "refused",
		`"j-000398"`:                         "refused",
		`{"j-000398":true}`:                  "refused",
		`398`:                                "refused",
		`true`:                               "refused",
		`["j-000398 "]`:                      "refused",
		`["jobs/j-000398"]`:                  "refused",
	} {
		body := validSubmission
		if list != "" {
			body = strings.Replace(validSubmission, `"later":1`, `"awaits":`+list, 1)
		}
		spec, err := DecodeSubmission([]byte(body))
		if spec.ID != "j-000412" || (err != nil) != (want == "refused") {
			t.Errorf("%s: id %q, %v", list, spec.ID, err)
			continue
		}
		var got []string
		for _, id := range spec.Dependencies {
			got = append(got, string(id))
		}
		if err == nil && strings.Join(got, " ") != want {
			t.Errorf("%s: read %v", list, got)
		}
	}
}

// TestHeartbeatsAndResponses checks what is read of heartbeats, and the responses byte
// for byte.
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
		t.Errorf("read %+v", status)
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
		t.Errorf("wrote %s", got)
	}
	if got := string(EncodeHeartbeatResponse(421, messages.HeartbeatResponse{RedirectTo: "landing-2"})); got != `{"dispatcher":"landing-2"}` {
		t.Errorf("wrote %s", got)
	}
	if got := string(EncodeHeartbeatResponse(421, messages.HeartbeatResponse{})); got != `{}` {
		t.Errorf("wrote %s", got)
	}
}

// TestTruncatedResponses checks that a response of the cloud or the state service that
// lacks what it must have is an error, never an empty success.
func TestTruncatedResponses(t *testing.T) {
	if _, err := DecodeScaleOutResponse([]byte(`{}`)); err == nil {
		t.Error("a scale-out without machines passed")
	}
	if _, err := DecodeTxnResponse([]byte(`{"failed":["a"]}`)); err == nil {
		t.Error("a transaction without revision passed")
	}
	if _, err := DecodeKV([]byte(`{"key":"a","mark":3}`)); err == nil {
		t.Error("a key without value passed")
	}
	if _, err := DecodeKVPage([]byte(`{"items":[]}`)); err == nil {
		t.Error("a page without revision passed")
	}
	if _, err := DecodeMachineTypes([]byte(`{"fleets":[{"name":"x","vcpus":0}]}`)); err == nil {
		t.Error("a machine type without CPUs passed")
	}
	page, err := DecodeKVPage([]byte(`{"epoch":433,"events":[{"set":"c/9","value":{"a":1},"mark":433},{"drop":"c/d","mark":432}]}`))
	items := page.Items
	if err != nil || page.Revision != 433 || len(items) != 2 || items[0].Key != "c/9" || items[1].Key != "c/d" || items[1].Value != nil {
		t.Errorf("read %+v %v", items, err)
	}
}
