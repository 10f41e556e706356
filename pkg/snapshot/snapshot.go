// Package snapshot chooses the index version that a query is pinned to, based on
// the reports of the services, and computes how much of the key space a set of
// ranges covers.
package snapshot

import (
	"cmp"
	"slices"
)

// KeySpace is the size of the key space. The shards of a complete index version
// cover it without gap or overlap.
const KeySpace = uint64(1) << 32

// Range is the half-open interval of keys from Low up to High.
type Range struct {
	Low  uint64 `json:"low"`
	High uint64 `json:"high"`
}

// Version describes the part of one index version that a service has.
type Version struct {
	Number uint64
	// Ranges are the keys of this version that the service has; empty if the
	// version has no shard at the service.
	Ranges []Range
	// Replicas is the number of upstreams of the service that have the version.
	Replicas int
}

// Report describes what one service can serve.
type Report struct {
	Service string
	// Sequence increases with each change of the report by the same gate.
	Sequence uint64
	Versions []Version
	// Admitted is the admitted fraction of each rank, most urgent first.
	Admitted []float32
}

// Shard is the part of a chosen snapshot that one service has.
type Shard struct {
	Service string
	Ranges  []Range
}

// Choice is a chosen index version with its shards, ordered by key.
type Choice struct {
	Version uint64
	Shards  []Shard
	// Fraction is the fraction of the key space that the shards cover.
	Fraction float64
	// Complete is true if the shards cover the key space without gap or overlap.
	Complete bool
}

// MeasureCoverage returns the fraction of the key space that the ranges cover, and
// whether they cover all of it without gap or overlap. Empty ranges are ignored.
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

// Choose returns the version to pin a query to, out of those above the floor. Any
// complete version is preferred to an incomplete one.
//
// Of several complete versions it returns the newest one whose every shard has at
// least sufficientReplicas. If there is none, it returns the one whose weakest
// shard has the most replicas, and of several such versions the newest.
//
// Of several incomplete versions it returns the one that covers the most. Versions
// that cover the same fraction are compared by replicas and age as above.
//
// ok is false if no report contains a version above the floor.
func Choose(reports []Report, floor uint64) (choice Choice, ok bool) {
	var best Choice
	bestReplicas := 0
	for _, number := range versionNumbers(reports, floor) {
		candidate, replicas := buildChoice(reports, number)
		if !ok || isBetter(candidate, replicas, best, bestReplicas) {
			best, bestReplicas, ok = candidate, replicas, true
		}
	}
	return best, ok
}

// sufficientReplicas is the number of replicas of its weakest shard from which a
// version is preferred to an older one with more replicas.
const sufficientReplicas = 2

// isBetter reports whether Choose prefers the candidate to the best version so
// far. replicas and bestReplicas are the numbers of replicas of the weakest shard
// of each.
func isBetter(candidate Choice, replicas int, best Choice, bestReplicas int) bool {
	if candidate.Complete != best.Complete {
		return candidate.Complete
	}
	if !candidate.Complete && candidate.Fraction != best.Fraction {
		return candidate.Fraction > best.Fraction
	}
	capped := min(replicas, sufficientReplicas)
	bestCapped := min(bestReplicas, sufficientReplicas)
	if capped != bestCapped {
		return capped > bestCapped
	}
	return candidate.Version > best.Version
}

// versionNumbers returns the reported version numbers above the floor in
// ascending order.
func versionNumbers(reports []Report, floor uint64) []uint64 {
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

// buildChoice returns the choice for one version and the number of replicas of
// its weakest shard.
func buildChoice(reports []Report, number uint64) (choice Choice, replicas int) {
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
