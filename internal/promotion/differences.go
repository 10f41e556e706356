package promotion

import (
	"strings"

	"github.com/bronzereach/bronzereach/internal/util"
)

// maximumDifferences bounds the list shown to an operator.
const maximumDifferences = 100

// Differences lists the lines that only theirs has, marked "+ ", and those
// that only ours has, marked "- ", in the order in which they stand.
func Differences(ours, theirs string) []string {
	ourLines, theirLines := strings.Split(ours, "\n"), strings.Split(theirs, "\n")
	differences := only("- ", ourLines, util.NewSet(theirLines...))
	differences = append(differences, only("+ ", theirLines, util.NewSet(ourLines...))...)
	return differences[:min(len(differences), maximumDifferences)]
}

func only(mark string, lines []string, others util.Set[string]) []string {
	var found []string
	for _, line := range lines {
		if !others.Has(line) {
			found = append(found, mark+line)
		}
	}
	return found
}
