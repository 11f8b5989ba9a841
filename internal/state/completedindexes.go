package state

import (
	"encoding/base64"
	"strconv"
	"strings"
)

// Which of a chunk's tasks are done is stored as ranges, "0-3,7", or as a bitmap
// in base64 after a "b", whichever is shorter.

// bitmapPrefix begins a bitmap.
const bitmapPrefix = "b"

// maxRangeBytes is what one more range may take at most.
const maxRangeBytes = 12

// EncodeCompleted writes which of a chunk's tasks are done, in at most so many bytes:
// from the index it returns on, what is done did not fit. To list fewer is safe,
// as a task that is started again after it was done ends at once.
func EncodeCompleted(state []uint8, limit int) (string, int) {
	ranges, fits := encodeRanges(state, limit)
	bitmap := base64.RawStdEncoding.EncodedLen((len(state)+7)/8) + len(bitmapPrefix)
	if fits == len(state) && len(ranges) <= bitmap || bitmap > limit {
		return ranges, fits
	}
	return encodeBitmap(state), len(state)
}

func encodeRanges(state []uint8, limit int) (string, int) {
	var b strings.Builder
	for i := 0; i < len(state); i++ {
		if state[i] < TaskCompleted {
			continue
		}
		last := i
		for last+1 < len(state) && state[last+1] >= TaskCompleted {
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
	return b.String(), len(state)
}

func encodeBitmap(state []uint8) string {
	bits := make([]byte, (len(state)+7)/8)
	for i, s := range state {
		if s >= TaskCompleted {
			bits[i/8] |= 1 << (i % 8)
		}
	}
	return bitmapPrefix + base64.RawStdEncoding.EncodeToString(bits)
}

// DecodeCompleted calls set for each of n tasks that is done; false: the text makes
// no sense.
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

// parseRange reads "first" or "first-last".
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
