package replica

import (
	"slices"
	"time"

	"github.com/azurepond/azurepond/pkg/route"
)

// The store may be restored from an older snapshot. The record then lacks replicas that were formed since, and may list their members
// in replicas that were dissolved. The engines report the replica and the epoch of the last order that they carried out, so a leader
// with an outdated record asks all of them, records the replicas that they report, and only then plans.

const (
	// confirmTimeout is how long a leader waits for the reports of all instances. Those that have not answered by then join no
	// replica before they do.
	confirmTimeout = 2 * time.Second

	// epochsPerEra is more epochs than a leader records within the age of a snapshot, which is some seconds. Twice as many are skipped for each
	// restore, so that a replica of an earlier era is told by the distance of its epoch.
	epochsPerEra = 1 << 12

	// maxReportedEpoch is the highest epoch that is accepted from a report, as fencing tokens have room for no higher one.
	maxReportedEpoch = 1 << 40
)

// setStoreEra applies the era of the store. If it has risen, a leader starts anew with the record that the store has now.
func (s *State) setStoreEra(now time.Time, era uint64) {
	hasRisen := s.storeEra != 0 && era > s.storeEra
	s.storeEra = max(s.storeEra, era)
	if hasRisen && s.leading {
		s.restartLeading(now)
	}
}

// restartLeading makes a leader read the record again, and ask each instance for its membership before it joins a replica.
func (s *State) restartLeading(now time.Time) {
	s.recordRead, s.takeoverRecorded = false, false
	s.leadingSince = now
	s.forgetReleases()
	s.writer.Reset()
}

// isRecordOutdated reports whether the record may be older than what engines were ordered to do.
func (s *State) isRecordOutdated() bool {
	return s.record.era < s.storeEra && (s.record.epoch > 0 || s.highestEpoch > 0 || !s.settings.bootstrap)
}

// noteEpoch remembers the highest epoch that this daemon knows of.
func (s *State) noteEpoch(epoch uint64) {
	if epoch <= maxReportedEpoch {
		s.highestEpoch = max(s.highestEpoch, epoch)
	}
}

// nextEpoch returns the epoch of the next record. It is higher than all that were recorded before, also in lost records. What is skipped after a
// restore is counted from the record that was restored, so that it does not depend on what a daemon remembers of the lost ones.
func (s *State) nextEpoch() uint64 {
	known := max(s.record.epoch, s.highestEpoch)
	if s.isRecordOutdated() {
		known = max(s.record.epoch+(s.storeEra-s.record.era)*2*epochsPerEra, s.highestEpoch+epochsPerEra)
	}
	if s.refusedEpoch > 0 && known <= s.refusedEpoch {
		known = s.refusedEpoch
		if known < maxReportedEpoch {
			known += epochsPerEra << min(s.refusals, maxEpochDoublings)
		}
	}
	return known + 1
}

// maxEpochDoublings limits by how much the epoch is raised after one refusal.
const maxEpochDoublings = 16

// noteRefusal remembers the epoch of an order that an instance refused as outdated. If no record has a higher one, the instance has seen an
// epoch that is lost, and each further refusal doubles by how much the next one is higher.
func (s *State) noteRefusal(o Order) {
	if epoch := o.fencingToken >> orderCountBits; epoch > s.refusedEpoch {
		s.refusedEpoch = epoch
		s.refusals++
	}
}

// mustRejoin reports whether the members of g must join it again before it opens, as it was formed before the store was restored.
// A lost record may have dissolved it, and a late join of that record takes a member that has had no order since.
func (s *State) mustRejoin(g group) bool {
	if g.epoch == 0 || g.epoch+epochsPerEra > s.nextEpoch() || s.hasEvacuated(g) {
		return false
	}
	head := s.nodes[g.members[0].id]
	return head == nil || !head.membership.isIn(g.name, g.epoch) || !head.membership.isServing()
}

// recoverRecord brings an outdated record up to date with the reports of the instances. It returns false while reports are
// missing.
func (s *State) recoverRecord(now time.Time) bool {
	if !s.isRecordOutdated() || s.isRecordRecovered {
		return true
	}
	isComplete := true
	for _, id := range s.ids() {
		if n := s.nodes[id]; n.isAlive() && n.membershipConfirmed.Before(s.leadingSince) {
			isComplete = false
			s.suspect(now, id)
		}
	}
	if !isComplete && now.Sub(s.leadingSince) < confirmTimeout {
		return false
	}
	s.isRecordRecovered = true
	lost := s.record.groups
	s.record.groups = s.reportedGroups()
	for _, g := range lost {
		if s.isReportedByMembers(g) {
			s.record.groups = append(s.record.groups, g)
		}
	}
	for _, g := range s.record.groups {
		if !slices.ContainsFunc(lost, func(other group) bool { return other.name == g.name && other.epoch == g.epoch }) {
			s.emit(LogEntry{"replica recovered", g.name, g.model, g.epoch, g.ids(), "reported by its members, not in the record"})
		}
	}
	for _, g := range lost {
		if !slices.ContainsFunc(s.record.groups, func(other group) bool { return other.name == g.name && other.epoch == g.epoch }) {
			s.emit(LogEntry{"replica dropped", g.name, g.model, g.epoch, g.ids(), "in the record, reported by no member"})
		}
	}
	return true
}

// reportedGroups returns the replicas that are newer than the record and complete by the reports of their members.
func (s *State) reportedGroups() []group {
	byEpoch := map[replicaEpoch][]*node{}
	var keys []replicaEpoch
	for _, id := range s.ids() {
		n := s.nodes[id]
		m := n.membership
		if !n.isAlive() || n.leaving || m.epoch <= s.record.epoch || m.epoch > maxReportedEpoch || !m.isForming() {
			continue
		}
		if byEpoch[m.replicaEpoch()] == nil {
			keys = append(keys, m.replicaEpoch())
		}
		byEpoch[m.replicaEpoch()] = append(byEpoch[m.replicaEpoch()], n)
	}
	var groups []group
	for _, key := range keys {
		if g, isComplete := s.groupOf(key, byEpoch[key]); isComplete {
			groups = append(groups, g)
		}
	}
	return groups
}

// isForming reports whether the member joins, is ready or serves.
func (m Membership) isForming() bool {
	return m.phase == PhaseJoining || m.phase == PhaseReady || m.phase == PhaseOpen
}

// groupOf returns the replica that consists of these members, and whether each rank of its model is among them once.
func (s *State) groupOf(key replicaEpoch, members []*node) (group, bool) {
	model, isKnown := s.modelOf(members)
	if !isKnown || len(members) != model.ReplicaSize() {
		return group{}, false
	}
	g := group{name: key.replica, model: model.Name(), epoch: key.epoch, members: make([]member, len(members))}
	for _, n := range members {
		rank := n.membership.rank
		if rank < 0 || rank >= len(members) || g.members[rank].id != "" {
			return group{}, false
		}
		g.members[rank] = member{n.id, n.incarnation}
	}
	return g, true
}

// modelOf returns the model that all members have loaded.
func (s *State) modelOf(members []*node) (route.Model, bool) {
	for _, n := range members {
		if n.loadedModel != members[0].loadedModel {
			return route.Model{}, false
		}
	}
	return s.engine.Model(members[0].loadedModel)
}

// isReportedByMembers reports whether a member of a recorded replica reports it, and none another replica of a later epoch or none at all. A
// member of none may have left by an order of a lost record, and a join of that record may still be carried out.
func (s *State) isReportedByMembers(g group) bool {
	isReported := false
	for _, m := range g.members {
		n := s.nodes[m.id]
		if !n.isAlive() {
			continue
		}
		if n.membership.phase == PhaseNone || n.membership.epoch > g.epoch {
			return false
		}
		isReported = isReported || n.membership.isIn(g.name, g.epoch)
	}
	return isReported
}
