package promotion

import (
	"strings"

	"github.com/bronzereach/bronzereach/internal/util"
)

// maximumDifferences is the maximum number of lines shown to an operator.
const maximumDifferences = 100

// Differences lists the lines that only ours contains, prefixed with "- ", then
// those that only theirs contains, prefixed with "+ ", each in text order.
func Differences(ours, theirs string) []string {
	ourLines, theirLines := strings.Split(ours, "\n"), strings.Split(theirs, "\n")
	differences := linesNotIn("- ", ourLines, util.NewSet(theirLines...))
	differences = append(differences, linesNotIn("+ ", theirLines, util.NewSet(ourLines...))...)
	return differences[:min(len(differences), maximumDifferences)]
}

// linesNotIn returns the lines that are not in others, each prefixed with mark.
func linesNotIn(mark string, lines []string, others util.Set[string]) []string {
	var found []string
	for _, line := range lines {
		if !others.Has(line) {
			found = append(found, mark+line)
		}
	}
	return found
}
