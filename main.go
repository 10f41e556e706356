// Bronzereach is a query tier between callers and many shards. Package cli describes
// its commands.
package main

import (
	"os"

	"github.com/bronzereach/bronzereach/internal/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], cli.Streams{Out: os.Stdout, Err: os.Stderr}))
}
