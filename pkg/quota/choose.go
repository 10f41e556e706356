package quota

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

// Choose returns the lender of a team among the candidates: the first by rendezvous
// hashing. Nodes with the same candidates, in any order, choose the same one, and the loss
// of a candidate moves only the teams that it was the lender of. It returns "" if there are
// no candidates.
func Choose(team string, candidates []string) string {
	chosen, highest := "", uint64(0)
	teamHash := xxhash.Sum64String(team)
	for _, candidate := range candidates {
		score := combineHashes(teamHash, xxhash.Sum64String(candidate))
		if chosen == "" || score > highest || score == highest && candidate < chosen {
			chosen, highest = candidate, score
		}
	}
	return chosen
}

// combineHashes combines two hashes into a score.
func combineHashes(a, b uint64) uint64 {
	high, low := bits.Mul64(a^0x9e3779b97f4a7c15, b^0xbf58476d1ce4e5b9)
	mixed := high ^ low
	high, low = bits.Mul64(mixed^0x94d049bb133111eb, 0x9e3779b97f4a7c15)
	return high ^ low
}

// phase returns a number from 0 to 1 that differs between nodes and teams.
func phase(team, node string) float64 {
	return float64(combineHashes(xxhash.Sum64String(team), xxhash.Sum64String(node))>>11) / (1 << 53)
}
