package core

import (
	"fmt"
	"reflect"
	"testing"
)

// TestGroupRecord: what a record lists comes back as it was, whoever placed it.
func TestGroupRecord(t *testing.T) {
	a := func(claim, n uint64) Attempt { return Attempt(claim<<attemptBits | n) }
	in := []listedMachine{
		{id: "m-000001", kind: groupKind{"small", "a", true}, addr: "10.1.0.232:9000", tasks: []listedTask{
			{TaskID{Job: "j-1", Index: 0}, a(41, 7)}, {TaskID{Job: "j-1", Index: 1}, a(41, 8)}, {TaskID{Job: "j-1", Index: 2}, a(41, 9)}, // one range
			{TaskID{Job: "j-1", Index: 3}, a(41, 11)}, // another attempt's counter
			{TaskID{Job: "j-2", Index: 99_999}, a(7, 1<<attemptBits-1)}}},
		{id: "m-000002", kind: groupKind{"big", "b", false}, returned: true},
		{id: "m-000003", kind: groupKind{"small", "a", true}, addr: "host:1", booting: true},
	}
	part, out, err := decodeGroup(encodeGroup(2, in, "n-1"))
	if err != nil || part != 2 || !reflect.DeepEqual(in, out) {
		t.Errorf("came back as %+v of part %d, %v", out, part, err)
	}
	if nonceOf(encodeGroup(2, in, "n-1")) != "n-1" {
		t.Error("the nonce is not where readBack looks for it")
	}
}

// TestGroupRecordBad: a task that is overlooked could run twice, so whatever
// makes no sense is an error.
func TestGroupRecordBad(t *testing.T) {
	good := `{"p":1,"c":[5],"k":[{"f":"s","y":"a"}],"j":["j-1"],"m":["m-1 0 . %s"]}`
	if _, ms, err := decodeGroup([]byte(fmt.Sprintf(good, "0:1-3@a"))); err != nil || len(ms[0].tasks) != 3 {
		t.Fatalf("good record: %v", err)
	}
	for _, tasks := range []string{"1:1@1", "0:1", "0:3-1@1", "0:x@1", "0:1@", "0:1@1.1", "0:1@zzzzzzzz", "0:-1@1", "0:1-200000@1", "0@1", ""} {
		if _, _, err := decodeGroup([]byte(fmt.Sprintf(good, tasks))); err == nil {
			t.Errorf("tasks %q were taken", tasks)
		}
	}
	for _, rec := range []string{``, `{}`, `[]`, `{"p":1}`, `{"p":1,"m":["m-1"]}`, `{"p":1,"m":["m-1 0 ."]}`, `{"p":1,"k":[{"f":"s","y":"a"}],"m":["m-1 0 !"]}`} {
		if _, _, err := decodeGroup([]byte(rec)); err == nil {
			t.Errorf("record %q was taken", rec)
		}
	}
}

// TestGroupSize: a full group of small machines stays well below the value
// limit that its number of machines was reckoned from.
func TestGroupSize(t *testing.T) {
	for _, limit := range []int{4096, 8192} {
		c := New(Config{Self: "n0", Nodes: []NodeID{"n0"}, ValueBytes: limit, TxnOps: 12, Tuning: DefaultTuning()})
		var ms []listedMachine
		for i := range c.groupMachines() {
			m := listedMachine{id: MachineID(fmt.Sprintf("m-%06d", i)), kind: groupKind{"depot-small", "haverhill-yard", true}, addr: "10.1.0.232:9000"}
			for k := range 3 { // three tasks of three jobs, of an earlier claim and this one
				m.tasks = append(m.tasks, listedTask{TaskID{Job: JobID(fmt.Sprintf("j-%06d", (i+k)%30)), Index: 100 + i*3 + k}, Attempt((40+uint64(k%2))<<attemptBits | uint64(20_000+i*7+k))})
			}
			ms = append(ms, m)
		}
		if n := len(encodeGroup(1, ms, "0123456789ab-1234")); n > limit*17/20 {
			t.Errorf("limit %d: %d machines take %d bytes", limit, len(ms), n)
		}
	}
}
