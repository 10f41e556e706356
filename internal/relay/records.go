package relay

import (
	"cmp"
	"encoding/binary"
	"slices"
)

// recordLength is the length of a record in bytes.
const recordLength = 16

// record is a record as two numbers that compare like its bytes.
type record struct {
	high, low uint64
}

// mergeRecords returns the greatest records of all bodies, greatest first. Equal
// records all count; a remainder shorter than a record is none.
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
