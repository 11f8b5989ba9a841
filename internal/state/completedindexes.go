package state

import (
	"encoding/base64"
	"strconv"
	"strings"
)

// The completed tasks of a chunk are stored as index ranges, such as "0-3,7", or as a
// base64 bitmap with the prefix "b", whichever is shorter.

// bitmapPrefix marks a bitmap.
const bitmapPrefix = "b"

// maxRangeBytes is the maximum length of a range with its separator.
const maxRangeBytes = 12

// EncodeCompleted encodes which tasks of a chunk are completed in at most limit bytes.
// It also returns the number of tasks covered. If this is less than len(states), the
// completed tasks from that index on did not fit. Omitting them is safe, as a completed
// task that is started again ends immediately.
func EncodeCompleted(states []uint8, limit int) (string, int) {
	ranges, covered := encodeRanges(states, limit)
	bitmapLength := base64.RawStdEncoding.EncodedLen((len(states)+7)/8) + len(bitmapPrefix)
	if covered == len(states) && len(ranges) <= bitmapLength || bitmapLength > limit {
		return ranges, covered
	}
	return encodeBitmap(states), len(states)
}

func encodeRanges(states []uint8, limit int) (string, int) {
	var b strings.Builder
	for i := 0; i < len(states); i++ {
		if states[i] < TaskCompleted {
			continue
		}
		last := i
		for last+1 < len(states) && states[last+1] >= TaskCompleted {
			last++
		}
		if b.Len()+maxRangeBytes > limit {
			return b.String(), i
		}
		if b.Len() > 0 {
			b.WriteByte(',')
		}
		b.WriteString(strconv.Itoa(i))
		if last > i {
			b.WriteByte('-')
			b.WriteString(strconv.Itoa(last))
		}
		i = last
	}
	return b.String(), len(states)
}

func encodeBitmap(states []uint8) string {
	bits := make([]byte, (len(states)+7)/8)
	for i, s := range states {
		if s >= TaskCompleted {
			bits[i/8] |= 1 << (i % 8)
		}
	}
	return bitmapPrefix + base64.RawStdEncoding.EncodeToString(bits)
}

// DecodeCompleted calls set with the index of each completed task of a chunk of n tasks.
// It returns false if the text is malformed, possibly after some calls of set.
func DecodeCompleted(text string, n int, set func(int)) bool {
	if text == "" {
		return true
	}
	if bitmap, ok := strings.CutPrefix(text, bitmapPrefix); ok {
		return decodeBitmap(bitmap, n, set)
	}
	for _, r := range strings.Split(text, ",") {
		first, last, ok := parseRange(r)
		if !ok || first < 0 || last < first || last >= n {
			return false
		}
		for i := first; i <= last; i++ {
			set(i)
		}
	}
	return true
}

func decodeBitmap(text string, n int, set func(int)) bool {
	bits, err := base64.RawStdEncoding.DecodeString(text)
	if err != nil || len(bits) != (n+7)/8 {
		return false
	}
	for i := 0; i < n; i++ {
		if bits[i/8]&(1<<(i%8)) != 0 {
			set(i)
		}
	}
	return true
}

// parseRange parses "first" or "first-last". It returns false for any other text.
func parseRange(text string) (first, last int, ok bool) {
	lo, hi, isRange := strings.Cut(text, "-")
	first, err := strconv.Atoi(lo)
	if err != nil {
		return 0, 0, false
	}
	if !isRange {
		return first, first, true
	}
	last, err = strconv.Atoi(hi)
	return first, last, err == nil
}
