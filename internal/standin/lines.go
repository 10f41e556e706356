package standin

import (
	"bytes"

	"github.com/cespare/xxhash/v2"

	"github.com/bronzereach/bronzereach/pkg/snapshot"
)

// SplitLines splits the contents of a file into lines without their newlines. The
// last line may lack a newline; a final newline doesn't start another, empty line.
func SplitLines(data []byte) [][]byte {
	if len(data) == 0 {
		return nil
	}
	return bytes.Split(bytes.TrimSuffix(data, []byte("\n")), []byte("\n"))
}

// ShardLines distributes lines over shards of equal ranges of the key space, by
// the hash of each line.
func ShardLines(lines [][]byte, shards int) []Contents {
	contents := make([]Contents, shards)
	for i := range contents {
		contents[i].Ranges = []snapshot.Range{{
			Low:  snapshot.KeySpace * uint64(i) / uint64(shards),
			High: snapshot.KeySpace * uint64(i+1) / uint64(shards),
		}}
	}
	for _, line := range lines {
		key := xxhash.Sum64(line) >> 32
		shard := int(key * uint64(shards) / snapshot.KeySpace)
		for key < contents[shard].Ranges[0].Low {
			shard--
		}
		for key >= contents[shard].Ranges[0].High {
			shard++
		}
		contents[shard].Lines = append(contents[shard].Lines, line)
	}
	return contents
}
