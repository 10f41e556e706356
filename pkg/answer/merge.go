package answer

import (
	"cmp"
	"maps"
	"slices"

	"github.com/bronzereach/bronzereach/pkg/query"
)

// MergeRule selects how the parts of an answer are merged.
type MergeRule string

// The merge rules.
const (
	// All keeps every record, shards in order.
	All MergeRule = "all"
	// Best keeps the records with the highest scores.
	Best MergeRule = "best"
	// Sums adds the named sums.
	Sums MergeRule = "sums"
)

// Part is a shard's contribution to an answer.
type Part struct {
	Records []query.Text
	// Scores is empty or as long as Records.
	Scores []float64
	Sums   []Sum
}

// Merged is the result of Merge.
type Merged struct {
	Records []query.Text
	Sums    []Sum
}

// Merge merges the parts in the given order. best is the maximum number of
// records kept by the rule Best, which leaves records of equal score in the
// order of their parts.
func Merge(rule MergeRule, best int, parts []Part) Merged {
	switch rule {
	case Best:
		return Merged{Records: mergeBest(best, parts)}
	case Sums:
		return Merged{Records: []query.Text{}, Sums: mergeSums(parts)}
	default:
		return Merged{Records: mergeAll(parts)}
	}
}

func mergeAll(parts []Part) []query.Text {
	count := 0
	for _, part := range parts {
		count += len(part.Records)
	}
	records := make([]query.Text, 0, count)
	for _, part := range parts {
		records = append(records, part.Records...)
	}
	return records
}

// scoredRecord is a record with its score, for sorting in mergeBest.
type scoredRecord struct {
	record query.Text
	score  float64
}

func mergeBest(best int, parts []Part) []query.Text {
	var scored []scoredRecord
	for _, part := range parts {
		for i, record := range part.Records {
			score := 0.0
			if i < len(part.Scores) {
				score = part.Scores[i]
			}
			scored = append(scored, scoredRecord{record: record, score: score})
		}
	}
	slices.SortStableFunc(scored, func(a, b scoredRecord) int { return cmp.Compare(b.score, a.score) })
	records := make([]query.Text, 0, min(best, len(scored)))
	for _, s := range scored[:min(best, len(scored))] {
		records = append(records, s.record)
	}
	return records
}

func mergeSums(parts []Part) []Sum {
	totals := map[string]float64{}
	for _, part := range parts {
		for _, sum := range part.Sums {
			totals[sum.Name] += sum.Value
		}
	}
	sums := make([]Sum, 0, len(totals))
	for _, name := range slices.Sorted(maps.Keys(totals)) {
		sums = append(sums, Sum{Name: name, Value: totals[name]})
	}
	return sums
}
