package quota

import (
	"github.com/cespare/xxhash/v2"

	"github.com/bronzereach/bronzereach/pkg/assignment"
)

// Choose returns the lender of a team among the candidates: the first by rendezvous
// hashing. Nodes with the same candidates, in any order, choose the same one, and the loss
// of a candidate moves only the teams that it was the lender of. It returns "" if there are
// no candidates.
func Choose(team string, candidates []string) string {
	chosen, highest := "", uint64(0)
	teamHash := xxhash.Sum64String(team)
	for _, candidate := range candidates {
		score := assignment.CombineHashes(teamHash, xxhash.Sum64String(candidate))
		if chosen == "" || score > highest || score == highest && candidate < chosen {
			chosen, highest = candidate, score
		}
	}
	return chosen
}

// phase returns a number from 0 to 1 that differs between nodes and teams.
func phase(team, node string) float64 {
	return float64(assignment.CombineHashes(xxhash.Sum64String(team), xxhash.Sum64String(node))>>11) / (1 << 53)
}
