package cli

import (
	"fmt"
	"io"

	"github.com/pkg/errors"

	"github.com/bronzereach/bronzereach/internal/entry"
	"github.com/bronzereach/bronzereach/internal/node"
	"github.com/bronzereach/bronzereach/pkg/memory"
	"github.com/bronzereach/bronzereach/platform"
)

// minimumMemory returns how much memory a node with the settings needs so that it can hold
// one of the largest requests and replies.
func minimumMemory(options node.Options) memory.Bytes {
	if options.Foreign != nil {
		return platform.MinimumMemory()
	}
	return entry.MinimumMemory()
}

// checkMemory returns an error if the settings name too little memory.
func checkMemory(options node.Options) error {
	if minimum := minimumMemory(options); options.Memory > 0 && options.Memory < minimum {
		return errors.Errorf("memoryMegabytes = %g is too little: the largest request or reply alone needs %g",
			inMegabytes(options.Memory), inMegabytes(minimum))
	}
	return nil
}

func inMegabytes(bytes memory.Bytes) float64 {
	return float64(bytes) / float64(memory.Megabyte)
}

// checkSettings reads a node's settings and prints what follows from them.
func checkSettings(path string, out io.Writer) error {
	options, err := node.ReadOptions(path)
	if err != nil {
		return err
	}
	if err := checkMemory(options); err != nil {
		return errors.WithMessagef(err, "settings %s", path)
	}
	if options.Memory > 0 {
		fmt.Fprintf(out, "valid, %g MB for requests and replies\n", inMegabytes(memory.AccountSize(options.Memory, 1)))
		return nil
	}
	fmt.Fprintln(out, "valid, memory as the machine has")
	return nil
}
