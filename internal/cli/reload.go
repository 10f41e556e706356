package cli

import (
	"bytes"
	"context"
	"os"
	"time"

	"github.com/go-logr/logr"

	"github.com/bronzereach/bronzereach/internal/node"
)

// settingsInterval is the interval at which the settings file is checked for changes
// that no signal announces.
const settingsInterval = 2 * time.Second

// reloader applies changes of the settings file to a running node. text is the last
// content that was read, valid or not.
type reloader struct {
	path    string
	node    *node.Node
	log     logr.Logger
	text    []byte
	signals <-chan os.Signal
}

// newReloader returns a reloader that takes the present content of the file as the
// settings of the node.
func newReloader(path string, n *node.Node, log logr.Logger, signals <-chan os.Signal) *reloader {
	r := &reloader{path: path, node: n, log: log, signals: signals}
	if text, err := os.ReadFile(path); err == nil {
		r.text = text
	}
	return r
}

// loop checks the file on each signal and at every settingsInterval.
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

// reload applies the settings if the file has changed since it was last read. The
// cause, "signal" or "file", is for the log.
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
