// Command stage plays the scripted cases of the second review: it starts the project's own
// nodes as processes and takes the part of their clients, backends and platform.
package main

import (
	"fmt"
	"os"
)

// verdicts are the exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// cases are the cases by name. Each returns whether its rule was broken.
var cases = map[string]func(record string) (violated bool, err error){
	"config":     configUnread,
	"evacuation": evacuationUnread,
	"quota":      quotaTwice,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stage CASE RECORD")
		os.Exit(failed)
	}
	violated, err := cases[os.Args[1]](os.Args[2])
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	case violated:
		fmt.Println("the rule was broken")
		os.Exit(broken)
	default:
		fmt.Println("the rule held")
		os.Exit(held)
	}
}
