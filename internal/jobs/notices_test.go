package jobs

import (
	"testing"

	"stairrelay/internal/messages"
)

// TestJobNoticesWithinMessageLimit checks that a message exceeds neither the record count
// nor the size limit, and that an oversized record is sent alone.
func TestJobNoticesWithinMessageLimit(t *testing.T) {
	large := messages.KV{Key: "jobs/j", Value: make([]byte, 64<<10)}
	huge := messages.KV{Key: "jobs/h", Value: make([]byte, 2*maxNoticeBytes)}
	for _, test := range []struct {
		name    string
		waiting []messages.KV
		want    int
	}{
		{"small", make([]messages.KV, 2*maxNotices), maxNotices},
		{"large", []messages.KV{large, large, large, large, large, large}, 3},
		{"one too large, first", []messages.KV{huge, large}, 1},
		{"one too large, later", []messages.KV{large, huge}, 1},
	} {
		queue := noticeQueue{waiting: test.waiting}
		if got := len(queue.nextBatch()); got != test.want {
			t.Errorf("%s: %d records, want %d", test.name, got, test.want)
		}
	}
}
