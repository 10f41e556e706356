package relay

import (
	"cmp"
	"encoding/binary"
	"slices"
)

// recordLength is the length of a record in bytes.
const recordLength = 16

// record is a record as two big-endian numbers, so that comparing the numbers
// orders records like their bytes.
type record struct {
	high, low uint64
}

// mergeRecords returns the top greatest records of all bodies in descending order.
// Duplicates are kept; trailing bytes shorter than a record are ignored.
func mergeRecords(bodies [][]byte, top int) []byte {
	var records []record
	for _, body := range bodies {
		for ; len(body) >= recordLength; body = body[recordLength:] {
			records = append(records, record{
				high: binary.BigEndian.Uint64(body),
				low:  binary.BigEndian.Uint64(body[8:]),
			})
		}
	}
	slices.SortFunc(records, func(a, b record) int {
		if order := cmp.Compare(b.high, a.high); order != 0 {
			return order
		}
		return cmp.Compare(b.low, a.low)
	})
	records = records[:min(len(records), top)]
	merged := make([]byte, 0, len(records)*recordLength)
	for _, r := range records {
		merged = binary.BigEndian.AppendUint64(merged, r.high)
		merged = binary.BigEndian.AppendUint64(merged, r.low)
	}
	return merged
}
