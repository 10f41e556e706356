package upstream

import (
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// Instance identifies one process of an upstream. It is passed by value.
type Instance struct {
	ID string
	// Born is the start time in milliseconds since the Unix epoch.
	Born int64
}

// bornPrefix begins the incarnation of an Instance. Nodes that know only revisions
// can't read such an incarnation, and pass it on as it is.
const bornPrefix = "born:"

// Incarnation returns the instance's incarnation in notices between nodes.
func (i Instance) Incarnation() string {
	return bornPrefix + strconv.FormatInt(i.Born, 10)
}

// ParseInstance reverses Incarnation for the upstream with the ID; ok is false if the
// incarnation is that of another kind of notice.
func ParseInstance(id, incarnation string) (i Instance, ok bool, err error) {
	born, ok := strings.CutPrefix(incarnation, bornPrefix)
	if !ok {
		return i, false, nil
	}
	i = Instance{ID: id}
	i.Born, err = strconv.ParseInt(born, 10, 64)
	return i, true, errors.WithMessagef(err, "incarnation %q", incarnation)
}
