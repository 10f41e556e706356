package upstream

import "time"

// toldMemory is how long an instance that told that it leaves is remembered once it is
// no longer registered. A store in trouble may list it again.
const toldMemory = 10 * time.Minute

// ToldLeaving records that an instance has told a node that it leaves. It holds for as
// long as the instance is registered, whatever the store or a peer says. ToldLeaving
// reports whether the instance is registered and not yet known to be leaving.
func (r *Registry) ToldLeaving(now time.Time, instance Instance) bool {
	_, known := r.told[instance]
	r.told[instance] = now
	registration := r.current[instance.ID]
	registered := registration.Instance() == instance
	return !known && registered && !registration.Leaving && !r.reportedLeaving(registration)
}

// toldLeaving reports whether the instance of a registration told that it leaves.
func (r *Registry) toldLeaving(registration Registration) bool {
	_, told := r.told[registration.Instance()]
	return told
}

// expireTold forgets the instances that have not been registered for toldMemory.
func (r *Registry) expireTold(now time.Time) {
	for instance, at := range r.told {
		switch {
		case r.current[instance.ID].Instance() == instance:
			r.told[instance] = now
		case now.Sub(at) >= toldMemory:
			delete(r.told, instance)
		}
	}
}
