package instance

import "time"

// expectedDrainTime is how long a surplus replica is expected to take to finish its running requests.
const expectedDrainTime = 30 * time.Second

// policy is the planner that weighs group downtime against stranded accelerators.
type policy struct{}

// plan updates the record from the probe results, repairs replicas, frees instances for the open ranks, forms the
// wanted replicas, uses the other spares for surplus replicas, and permits loads by urgency.
func (policy) plan(d *draft) {
	if d.isolated() {
		return
	}
	d.findExpected()
	d.releaseLoadPermits()
	d.reconcileEntries()
	d.promoteSubstitutes()
	open := d.repair()
	d.reconcileDrains(d.reclaim(open))
	d.formWanted()
	if len(open) == 0 {
		d.preload()
		d.consolidate()
		d.formSurplus()
	}
	d.retireOutdated()
	d.retireExcess()
	d.grantLoadPermits(true)
}
