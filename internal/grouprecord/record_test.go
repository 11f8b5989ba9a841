package grouprecord

import (
	"errors"
	"fmt"
	"reflect"
	"testing"

	"stairrelay/internal/cluster"
)

// newTask returns a task with the attempt of the given claim and count.
func newTask(job cluster.JobID, index int, claim, count uint64) Task {
	return Task{ID: cluster.TaskID{Job: job, Index: index}, Attempt: cluster.NewAttempt(claim, count)}
}

// sampleRecord returns a record with ranges, attempts of two claims, all flags and all
// forms of addresses.
func sampleRecord() Record {
	const lastCount = 1<<cluster.AttemptCountBits - 1
	return Record{ShardID: 2, WriteID: "n-1", Machines: []Machine{
		{ID: "m-000001", Kind: Kind{"small", "a", true}, Address: "10.1.0.232:9000", Tasks: []Task{
			newTask("j-1", 0, 41, 7), newTask("j-1", 1, 41, 8), newTask("j-1", 2, 41, 9), // one range
			newTask("j-1", 3, 41, 11),            // a count that does not continue the range
			newTask("j-2", 4, 41, 12),            // another job
			newTask("j-2", 99_999, 7, lastCount), // another claim
		}},
		{ID: "m-000002", Kind: Kind{"big", "b", false}, Releasing: true},
		{ID: "m-000003", Kind: Kind{"small", "a", true}, Address: "host:1", Booting: true},
	}}
}

// TestRoundTrip checks that decoding inverts encoding.
func TestRoundTrip(t *testing.T) {
	record := sampleRecord()
	if decoded, err := Decode(Encode(record)); err != nil || !reflect.DeepEqual(record, decoded) {
		t.Errorf("decoded %+v, %v; want %+v", decoded, err, record)
	}
}

// TestStoredForm checks the stored bytes, which controllers of other releases also read.
func TestStoredForm(t *testing.T) {
	const want = `{"p":2,"c":[41,7],"k":[{"f":"small","y":"a","s":true},{"f":"big","y":"b"}],"j":["j-1","j-2"],` +
		`"m":["m-000001 0 CgEA6CMo 0:0-2@7 0:3@b 1:4@c 1:99999@1.mh33","m-000002 1r .","m-000003 0b =host:1"],"w":"n-1"}`
	if got := string(Encode(sampleRecord())); got != want {
		t.Errorf("stored as\n%s\nwant\n%s", got, want)
	}
	if got, want := string(Encode(Record{ShardID: 1, WriteID: "x"})), `{"p":1,"m":[],"w":"x"}`; got != want {
		t.Errorf("a record without machines is stored as %s, want %s", got, want)
	}
}

// recordWithTasks returns the stored form of a record with one job, one claim and one
// machine with the given task ranges.
func recordWithTasks(ranges string) []byte {
	return fmt.Appendf(nil, `{"p":1,"c":[5],"k":[{"f":"s","y":"a"}],"j":["j-1"],"m":["m-1 0 . %s"]}`, ranges)
}

// TestMalformedRanges checks that malformed task ranges are rejected. A task that is
// overlooked could run twice.
func TestMalformedRanges(t *testing.T) {
	if record, err := Decode(recordWithTasks("0:1-3@a")); err != nil || len(record.Machines[0].Tasks) != 3 {
		t.Fatalf("well-formed record: %+v, %v", record, err)
	}
	for name, tasks := range map[string]string{
		"job beyond the table":   "1:1@1",
		"no attempt":             "0:1",
		"descending range":       "0:3-1@1",
		"index not a number":     "0:x@1",
		"empty attempt":          "0:1@",
		"claim beyond the table": "0:1@1.1",
		"count too large":        "0:1@zzzzzzzz",
		"negative index":         "0:-1@1",
		"range too long":         "0:1-200000@1",
		"no index":               "0@1",
		"empty":                  "",
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Decode(recordWithTasks(tasks))
			var malformed *RangeError
			if !errors.As(err, &malformed) || malformed.Text != tasks {
				t.Errorf("tasks %q: %v", tasks, err)
			}
		})
	}
}

// TestMalformedRecords checks that malformed records are rejected.
func TestMalformedRecords(t *testing.T) {
	for _, record := range []string{
		``,
		`{}`,
		`[]`,
		`{"p":1}`,
		`{"p":1,"m":["m-1"]}`,
		`{"p":1,"m":["m-1 0 ."]}`,
		`{"p":1,"k":[{"f":"s","y":"a"}],"m":["m-1 0 !"]}`,
	} {
		if _, err := Decode([]byte(record)); err == nil {
			t.Errorf("record %q was accepted", record)
		}
	}
}

// TestErrorTexts checks that the texts of errors identify the malformed part of a record.
func TestErrorTexts(t *testing.T) {
	for record, want := range map[string]string{
		`{"p":1}`:                 `record has no list of machines`,
		`{"p":1,"m":["m-1"]}`:     `invalid machine entry "m-1": too few fields or no ID`,
		`{"p":1,"m":[" 0 ."]}`:    `invalid machine entry " 0 .": too few fields or no ID`,
		`{"p":1,"m":["m-1 0 ."]}`: `invalid machine entry "m-1 0 .": kind is not in the table of kinds`,
		`{"p":1,"k":[{"f":"s","y":"a"}],"m":["m-1 0 !"]}`:       `invalid machine entry "m-1 0 !": invalid address`,
		`{"p":1,"k":[{"f":"s","y":"a"}],"m":["m-1 0 . 0:1@1"]}`: `invalid machine entry "m-1 0 . 0:1@1": invalid task range "0:1@1"`,
	} {
		if _, err := Decode([]byte(record)); err == nil || err.Error() != want {
			t.Errorf("%s: %v, want %s", record, err, want)
		}
	}
}

// TestShardOf checks that the shard of an otherwise malformed record can be read.
func TestShardOf(t *testing.T) {
	for record, want := range map[string]cluster.ShardID{`{"p":3}`: 3, `{"p":0,"m":["?"]}`: 0} {
		if shard, ok := ShardOf([]byte(record)); !ok || shard != want {
			t.Errorf("%s: shard %d, %v; want %d", record, shard, ok, want)
		}
	}
	for _, record := range []string{``, `{}`, `{"p":"x"}`, `[1]`} {
		if shard, ok := ShardOf([]byte(record)); ok {
			t.Errorf("%s: shard %d, want none", record, shard)
		}
	}
}

// TestAddress checks that addresses are restored from their stored form, and that only IPv4
// addresses are stored in the short form.
func TestAddress(t *testing.T) {
	for address, want := range map[string]string{
		"":                   ".",
		"10.1.0.232:9000":    "CgEA6CMo",
		"255.255.255.255:1":  "_____wAB",
		"010.1.0.232:9000":   "=010.1.0.232:9000", // unpacked it would have no leading zero
		"[2001:db8::1]:9000": "=[2001:db8::1]:9000",
		"10.1.0.232:09000":   "=10.1.0.232:09000",
		"host:1":             "=host:1",
	} {
		packed := packAddress(address)
		unpacked, err := unpackAddress(packed)
		if packed != want || unpacked != address || err != nil {
			t.Errorf("%q: packed %q, want %q; unpacked %q, %v", address, packed, want, unpacked, err)
		}
	}
	if got := packAddress("a b"); got != "." {
		t.Errorf("an address with a space is packed as %q, want none", got)
	}
	for _, malformed := range []string{"", "!", "CgEA6CM", "CgEA6CMoAA"} {
		if _, err := unpackAddress(malformed); !errors.Is(err, ErrInvalidAddress) {
			t.Errorf("%q: %v", malformed, err)
		}
	}
}
