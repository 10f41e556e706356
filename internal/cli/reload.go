package cli

import (
	"bytes"
	"context"
	"os"
	"time"

	"github.com/go-logr/logr"

	"github.com/bronzereach/bronzereach/internal/node"
)

// settingsInterval is the time between looks at the settings file, which may
// change without a signal.
const settingsInterval = 2 * time.Second

// reloader takes over settings that change while a node runs.
type reloader struct {
	path    string
	node    *node.Node
	log     logr.Logger
	text    []byte
	signals <-chan os.Signal
}

// newReloader returns a reloader of the settings that the node has now.
func newReloader(path string, n *node.Node, log logr.Logger, signals <-chan os.Signal) *reloader {
	r := &reloader{path: path, node: n, log: log, signals: signals}
	if text, err := os.ReadFile(path); err == nil {
		r.text = text
	}
	return r
}

// loop looks at the file on each signal and from time to time.
func (r *reloader) loop(ctx context.Context) {
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.signals:
			r.reload("signal")
		case <-ticker.C:
			r.reload("file")
		}
	}
}

func (r *reloader) reload(cause string) {
	text, err := os.ReadFile(r.path)
	if err != nil {
		r.log.Error(err, "settingsUnreadable", "cause", cause)
		return
	}
	if bytes.Equal(text, r.text) {
		if cause == "signal" {
			r.log.Info("settingsUnchanged", "cause", cause)
		}
		return
	}
	r.text = text
	options, err := node.ParseOptions(text)
	if err != nil {
		r.log.Error(err, "settingsRefused", "cause", cause)
		return
	}
	r.node.Reload(options)
	r.log.Info("settingsReloaded", "cause", cause, "peers", len(options.Peers))
}
