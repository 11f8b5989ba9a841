package core

import (
	"testing"
)

// TestEndUnderWay: the write of a job's end is carried out and its answer is
// lost; others may have read and told it. Neither a question nor another
// controller's may then get the owner's older view.
func TestEndUnderWay(t *testing.T) {
	b := newCoreHarness()
	j := b.job("j-1", 1)
	j.setDone(0)
	b.lose = func(StoreTxn) bool { return true }
	b.writeJob(j, prioAccept)
	b.play(60 * milli)
	if b.store.get("jobs/j-1").Out != OK || j.final != "" {
		t.Fatal("the end is not stored, or its answer is not lost")
	}
	b.jobs.known["j-1"].final = "" // nothing has told this controller
	b.onQuery(Query{Req: 5, ID: "j-1"})
	var views []JobView
	b.answerAsk([]JobID{"j-1"}, func(v []JobView) { views = v })
	b.play(300 * milli)
	if len(b.told) != 1 || b.told[0].View == nil || b.told[0].View.Status != StDone {
		t.Errorf("a question gets %+v", b.told)
	}
	for _, v := range views {
		if v.Status != StDone {
			t.Errorf("another controller gets %+v", v)
		}
	}
}
