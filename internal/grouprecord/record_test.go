package grouprecord

import (
	"errors"
	"fmt"
	"reflect"
	"testing"

	"stairrelay/internal/cluster"
)

func start(job cluster.JobID, index int, claim, count uint64) Task {
	return Task{ID: cluster.TaskID{Job: job, Index: index}, Attempt: cluster.NewAttempt(claim, count)}
}

// sample has ranges, attempts of two claims, all flags and forms of addresses.
func sample() Record {
	const lastCount = 1<<cluster.AttemptCountBits - 1
	return Record{ShardID: 2, WriteID: "n-1", Machines: []Machine{
		{ID: "m-000001", Kind: Kind{"small", "a", true}, Address: "10.1.0.232:9000", Tasks: []Task{
			start("j-1", 0, 41, 7), start("j-1", 1, 41, 8), start("j-1", 2, 41, 9), // one range
			start("j-1", 3, 41, 11), // another attempt's counter
			start("j-2", 4, 41, 12), // another job's
			start("j-2", 99_999, 7, lastCount)}},
		{ID: "m-000002", Kind: Kind{"big", "b", false}, Releasing: true},
		{ID: "m-000003", Kind: Kind{"small", "a", true}, Address: "host:1", Booting: true},
	}}
}

// TestGroupRecord: what a record lists comes back as it was, whoever placed it.
func TestGroupRecord(t *testing.T) {
	in := sample()
	if out, err := Decode(Encode(in)); err != nil || !reflect.DeepEqual(in, out) {
		t.Errorf("came back as %+v, %v", out, err)
	}
}

// TestStoredForm: the stored bytes, which controllers of other releases read.
func TestStoredForm(t *testing.T) {
	const want = `{"p":2,"c":[41,7],"k":[{"f":"small","y":"a","s":true},{"f":"big","y":"b"}],"j":["j-1","j-2"],` +
		`"m":["m-000001 0 CgEA6CMo 0:0-2@7 0:3@b 1:4@c 1:99999@1.mh33","m-000002 1r .","m-000003 0b =host:1"],"w":"n-1"}`
	if got := string(Encode(sample())); got != want {
		t.Errorf("stored as\n%s\nwant\n%s", got, want)
	}
	if got, want := string(Encode(Record{ShardID: 1, WriteID: "x"})), `{"p":1,"m":[],"w":"x"}`; got != want {
		t.Errorf("an empty one is stored as %s, want %s", got, want)
	}
}

// TestGroupRecordBad: a task that is overlooked could run twice, so whatever
// makes no sense is an error.
func TestGroupRecordBad(t *testing.T) {
	good := `{"p":1,"c":[5],"k":[{"f":"s","y":"a"}],"j":["j-1"],"m":["m-1 0 . %s"]}`
	if rec, err := Decode([]byte(fmt.Sprintf(good, "0:1-3@a"))); err != nil || len(rec.Machines[0].Tasks) != 3 {
		t.Fatalf("good record: %v", err)
	}
	for _, tasks := range []string{"1:1@1", "0:1", "0:3-1@1", "0:x@1", "0:1@", "0:1@1.1", "0:1@zzzzzzzz", "0:-1@1", "0:1-200000@1", "0@1", ""} {
		_, err := Decode([]byte(fmt.Sprintf(good, tasks)))
		var bad *RangeError
		if !errors.As(err, &bad) || bad.Text != tasks {
			t.Errorf("tasks %q: %v", tasks, err)
		}
	}
	for _, rec := range []string{``, `{}`, `[]`, `{"p":1}`, `{"p":1,"m":["m-1"]}`, `{"p":1,"m":["m-1 0 ."]}`, `{"p":1,"k":[{"f":"s","y":"a"}],"m":["m-1 0 !"]}`} {
		if _, err := Decode([]byte(rec)); err == nil {
			t.Errorf("record %q was taken", rec)
		}
	}
}

// TestErrorTexts: operators find these in the log, with the line at fault.
func TestErrorTexts(t *testing.T) {
	for rec, want := range map[string]string{
		`{"p":1}`:                 `group without machines`,
		`{"p":1,"m":["m-1"]}`:     `machine "m-1"`,
		`{"p":1,"m":[" 0 ."]}`:    `machine " 0 ."`,
		`{"p":1,"m":["m-1 0 ."]}`: `machine "m-1 0 .": kind`,
		`{"p":1,"k":[{"f":"s","y":"a"}],"m":["m-1 0 !"]}`:       `machine "m-1 0 !": address`,
		`{"p":1,"k":[{"f":"s","y":"a"}],"m":["m-1 0 . 0:1@1"]}`: `machine "m-1 0 . 0:1@1": tasks "0:1@1"`,
	} {
		if _, err := Decode([]byte(rec)); err == nil || err.Error() != want {
			t.Errorf("%s: %v, want %s", rec, err, want)
		}
	}
}

// TestPartOf: whose a record is can be read where the rest makes no sense.
func TestPartOf(t *testing.T) {
	for rec, want := range map[string]cluster.ShardID{`{"p":3}`: 3, `{"p":0,"m":["?"]}`: 0} {
		if part, ok := ShardOf([]byte(rec)); !ok || part != want {
			t.Errorf("%s: part %d, %v", rec, part, ok)
		}
	}
	for _, rec := range []string{``, `{}`, `{"p":"x"}`, `[1]`} {
		if part, ok := ShardOf([]byte(rec)); ok {
			t.Errorf("%s: part %d", rec, part)
		}
	}
}

// TestAddress: every address comes back, and only the packed form is short.
func TestAddress(t *testing.T) {
	for address, text := range map[string]string{
		"":                   ".",
		"10.1.0.232:9000":    "CgEA6CMo",
		"255.255.255.255:1":  "_____wAB",
		"010.1.0.232:9000":   "=010.1.0.232:9000", // not as it would come back
		"[2001:db8::1]:9000": "=[2001:db8::1]:9000",
		"10.1.0.232:09000":   "=10.1.0.232:09000",
		"host:1":             "=host:1",
	} {
		got := packAddress(address)
		back, err := unpackAddress(got)
		if got != text || back != address || err != nil {
			t.Errorf("%q: written %q, want %q; read %q, %v", address, got, text, back, err)
		}
	}
	if got := packAddress("a b"); got != "." {
		t.Errorf("an address that would break the line is written as %q", got)
	}
	for _, bad := range []string{"", "!", "CgEA6CM", "CgEA6CMoAA"} {
		if _, err := unpackAddress(bad); !errors.Is(err, ErrInvalidAddress) {
			t.Errorf("%q: %v", bad, err)
		}
	}
}
