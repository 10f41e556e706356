// Package snapshot chooses the one index version that a query is pinned to,
// from what the services report, and measures key ranges.
package snapshot

import (
	"cmp"
	"slices"
)

// KeySpace is the size of the key space that the shards of an index tile.
const KeySpace = uint64(1) << 32

// Range is the half-open interval of keys from Low up to High.
type Range struct {
	Low  uint64 `json:"low"`
	High uint64 `json:"high"`
}

// Version tells how a service holds one version of its index.
type Version struct {
	Number uint64
	// Ranges are the keys the service holds in this version; none if the
	// version has no shard there.
	Ranges []Range
	// Replicas is the number of upstreams of the service that hold it.
	Replicas int
}

// Report tells what one service can serve.
type Report struct {
	Service string
	// Sequence rises whenever the report of one gate changes.
	Sequence uint64
	Versions []Version
	// Admitted is the fraction of each rank admitted, most urgent first.
	Admitted []float32
}

// Shard is one service's part of a chosen snapshot.
type Shard struct {
	Service string
	Ranges  []Range
}

// Choice is a snapshot and the shards that make it up, ordered by key.
type Choice struct {
	Version uint64
	Shards  []Shard
	// Fraction is the share of the key space that the shards cover.
	Fraction float64
	// Complete is true if the shards tile the key space.
	Complete bool
}

// Measure returns the share of the key space that the ranges cover and
// whether they tile it: no gap and no overlap. Empty ranges count for nothing.
func MeasureCoverage(ranges []Range) (fraction float64, tiled bool) {
	sorted := slices.DeleteFunc(slices.Clone(ranges), func(r Range) bool { return r.Low >= r.High })
	slices.SortFunc(sorted, func(a, b Range) int { return cmp.Compare(a.Low, b.Low) })
	covered, end := uint64(0), uint64(0)
	tiled = true
	for _, r := range sorted {
		if r.Low != end {
			tiled = false
		}
		if r.High > end {
			covered += r.High - max(r.Low, end)
			end = r.High
		}
	}
	return float64(covered) / float64(KeySpace), tiled && end == KeySpace
}

// Choose picks the version to pin a query to. Of the versions above the floor
// that tile the key space it prefers the newest whose every shard has at least
// two replicas, or all that the best version has; then the newest complete
// one; then the one that covers most, the newer one on a tie. ok is false if
// no report names a version above the floor.
func Choose(reports []Report, floor uint64) (choice Choice, ok bool) {
	var best Choice
	bestReplicas := 0
	for _, number := range numbers(reports, floor) {
		candidate, replicas := assemble(reports, number)
		if !ok || better(candidate, replicas, best, bestReplicas) {
			best, bestReplicas, ok = candidate, replicas, true
		}
	}
	return best, ok
}

// settledReplicas is the number of replicas of its weakest shard from which a
// new version is as good as an old one.
const settledReplicas = 2

func better(candidate Choice, replicas int, best Choice, bestReplicas int) bool {
	if candidate.Complete != best.Complete {
		return candidate.Complete
	}
	if !candidate.Complete && candidate.Fraction != best.Fraction {
		return candidate.Fraction > best.Fraction
	}
	settled := min(replicas, settledReplicas)
	bestSettled := min(bestReplicas, settledReplicas)
	if settled != bestSettled {
		return settled > bestSettled
	}
	return candidate.Version > best.Version
}

func numbers(reports []Report, floor uint64) []uint64 {
	var found []uint64
	for _, report := range reports {
		for _, version := range report.Versions {
			if version.Number > floor && !slices.Contains(found, version.Number) {
				found = append(found, version.Number)
			}
		}
	}
	slices.Sort(found)
	return found
}

// assemble returns the choice for one version and the replicas of its weakest
// shard.
func assemble(reports []Report, number uint64) (choice Choice, replicas int) {
	choice.Version = number
	var ranges []Range
	for _, report := range reports {
		for _, version := range report.Versions {
			if version.Number != number || len(version.Ranges) == 0 {
				continue
			}
			choice.Shards = append(choice.Shards, Shard{Service: report.Service, Ranges: version.Ranges})
			ranges = append(ranges, version.Ranges...)
			if replicas == 0 || version.Replicas < replicas {
				replicas = version.Replicas
			}
		}
	}
	slices.SortFunc(choice.Shards, func(a, b Shard) int {
		return cmp.Compare(a.Ranges[0].Low, b.Ranges[0].Low)
	})
	choice.Fraction, choice.Complete = MeasureCoverage(ranges)
	return choice, replicas
}
