package cli

import "github.com/pkg/errors"

func runLoad(arguments []string, streams Streams) (int, error) {
	_, err := parseLoad(arguments, streams.Err)
	if err != nil {
		return exitUsage, err
	}
	return exitFailed, errors.New("todo")
}
