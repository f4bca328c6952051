package daemon

import (
	"context"
	"time"

	"github.com/azurepond/azurepond/internal/admin"
	"github.com/azurepond/azurepond/pkg/caller"
	"github.com/azurepond/azurepond/pkg/instance"
	"github.com/azurepond/azurepond/pkg/operator"
	"github.com/azurepond/azurepond/pkg/peer"
	"github.com/azurepond/azurepond/pkg/reducer"
)

// Addresses returns the addresses that a caller in dataCentre should connect to.
func (d *Daemon) Addresses(ctx context.Context, dataCentre string) (caller.Addresses, error) {
	var addresses caller.Addresses
	err := d.loop.runAndWait(ctx, func(_ time.Time, state *reducer.State) { addresses = state.Addresses(dataCentre) })
	return addresses, err
}

// Status returns the status of the fleet as this daemon sees it.
func (d *Daemon) Status() admin.Status {
	var status admin.Status
	_ = d.loop.runAndWait(d.work, func(_ time.Time, state *reducer.State) {
		status = statusOf(d.settings.Name(), d.callers.ActiveCalls(), state)
	})
	return status
}

func statusOf(name string, running int, state *reducer.State) admin.Status {
	return admin.NewStatus(name, state.Fleet().Revision(), replicasOf(state), upstreamsOf(state),
		entriesOf(name, running, state), modelsOf(state))
}

func replicasOf(state *reducer.State) []admin.Replica {
	var replicas []admin.Replica
	for _, pool := range state.Pools() {
		for _, replica := range pool.Replicas() {
			replicas = append(replicas, replicaOf(replica))
		}
	}
	return replicas
}

func replicaOf(replica instance.ReplicaStatus) admin.Replica {
	var instances []string
	running := 0
	for rank, member := range replica.Members() {
		instances = append(instances, string(member.ID()))
		if rank == 0 { // the lead, which receives the calls
			running = member.Load().Running() + member.Load().Queued()
		}
	}
	reason := ""
	if !replica.Available() {
		reason = replica.Reason().String()
	}
	return admin.NewReplica(string(replica.Replica()), replica.Model(), replicaState(replica, running), reason, running,
		instances)
}

func replicaState(replica instance.ReplicaStatus, running int) admin.State {
	switch {
	case replica.Available():
		return admin.StateAvailable
	case replica.Reason().Cause() == instance.CauseDraining && running > 0:
		return admin.StateDraining
	case replica.Reason().Cause() == instance.CauseDraining:
		return admin.StateDrained
	case replica.Reason().Cause() == instance.CauseNotReady:
		return admin.StateLoading
	}
	return admin.StateBroken
}

// upstreamsOf returns the upstreams of plain services.
func upstreamsOf(state *reducer.State) []admin.Upstream {
	var upstreams []admin.Upstream
	for _, u := range state.ServiceUpstreams() {
		upstreams = append(upstreams, admin.NewUpstream(u.Service(), u.Address(), u.Centre(), upstreamState(u), u.ActiveCalls()))
	}
	return upstreams
}

func upstreamState(u reducer.ServiceUpstream) admin.State {
	switch {
	case !u.Alive():
		return admin.StateDead
	case u.Drained() && u.ActiveCalls() > 0:
		return admin.StateDraining
	case u.Drained():
		return admin.StateDrained
	}
	return admin.StateAlive
}

// entriesOf returns the daemons; only the one called name has its running calls and whether it is drained.
func entriesOf(name string, running int, state *reducer.State) []admin.Entry {
	revisions := map[string]operator.Revision{}
	for _, reported := range state.MemberRevisions() {
		revisions[reported.Name()] = operator.Revision(reported.Revision())
	}
	var entries []admin.Entry
	for _, member := range state.Members() {
		condition, calls := memberState(member), 0
		if member.Name() == name {
			calls = running
			if state.CallerView().Stopped() {
				condition = admin.StateDrained
			}
		}
		entries = append(entries, admin.NewEntry(member.Name(), member.Centre(), condition, revisions[member.Name()], calls))
	}
	return entries
}

func memberState(member peer.Member) admin.State {
	if member.Leaving() {
		return admin.StateDraining
	}
	return admin.StateAlive
}

// modelsOf returns the status of each model, and last the stranded time of instances in no replica.
func modelsOf(state *reducer.State) []admin.Model {
	costs := map[string]instance.ModelCosts{}
	for _, modelCosts := range state.ModelCosts() {
		costs[modelCosts.Model()] = modelCosts
	}
	available := map[string]int{}
	for _, replica := range replicasOf(state) {
		if replica.State() == admin.StateAvailable {
			available[replica.Model()]++
		}
	}
	var models []admin.Model
	for _, m := range state.Fleet().Models() {
		modelCosts := costs[m.Name()]
		models = append(models,
			admin.NewModel(m.Name(), m.Replicas(), available[m.Name()], modelCosts.Downtime(), modelCosts.Stranded()))
	}
	return append(models, admin.NewModel("", 0, 0, 0, costs[""].Stranded()))
}
