package agreement

import (
	"fmt"
	"math/bits"
	"strings"
)

// This file models the protocol and its membership changes for an exhaustive search of states. Members have a log and
// a vote on disk; an election is one atomic step; entries are copied one at a time; a crash loses what was not
// synced. For each rule, testdata/model holds a counterexample that becomes possible once the rule is removed; a test
// replays it.

// rules are the protocol rules in force. A model that lacks one of them is a mutation.
type rules struct {
	oneVotePerTerm            bool // a member grants one vote per term
	voteComparesLogs          bool // a vote goes only to a candidate whose log is at least as up to date as the voter's
	commitOwnTermOnly         bool // a leader commits by counting replicas only if the last entry is of its own term
	countSyncedOnly           bool // a leader counts its own entries only once they are synced
	changeAwaitsCommit        bool // no membership change before the previous one is committed
	ownTermCommitBeforeChange bool // no membership change before an entry of the leader's term is committed
	oneMemberAtATime          bool // a change adds or removes one member, or is joint
	jointQuorum               bool // joint consensus needs majorities of both the old and the new voters
	jointAwaitsCommit         bool // a joint membership is left only once it is committed
	newIdentityAfterDiskLoss  bool // a member that lost its disk has a new identity
	previousEntryMustMatch    bool // a follower accepts an entry only if the entry before it matches the leader's
	snapshotKeepsLaterEntries bool // a snapshot that matches the log leaves the later entries in place
}

// allRules returns the complete protocol.
func allRules() rules {
	return rules{oneVotePerTerm: true, voteComparesLogs: true, commitOwnTermOnly: true, countSyncedOnly: true,
		changeAwaitsCommit: true, ownTermCommitBeforeChange: true, oneMemberAtATime: true, jointQuorum: true, jointAwaitsCommit: true, newIdentityAfterDiskLoss: true, previousEntryMustMatch: true, snapshotKeepsLaterEntries: true}
}

// mutations returns every set of rules that lacks one rule, by the name of the counterexample in testdata/model.
func mutations() map[string]rules {
	byName := map[string]rules{}
	add := func(name string, remove func(r *rules)) {
		r := allRules()
		remove(&r)
		byName[name] = r
	}
	add("one-vote-in-term", func(r *rules) { r.oneVotePerTerm = false })
	add("logs-compared", func(r *rules) { r.voteComparesLogs = false })
	add("own-term-commits", func(r *rules) { r.commitOwnTermOnly = false })
	add("synced-counts", func(r *rules) { r.countSyncedOnly = false })
	add("change-waits", func(r *rules) { r.changeAwaitsCommit = false })
	add("leader-opens-term", func(r *rules) { r.ownTermCommitBeforeChange = false })
	add("one-member-at-a-time", func(r *rules) { r.oneMemberAtATime = false })
	add("both-electorates", func(r *rules) { r.jointQuorum = false })
	add("joint-committed", func(r *rules) { r.jointAwaitsCommit = false })
	add("disk-is-identity", func(r *rules) { r.newIdentityAfterDiskLoss = false })
	add("previous-entry-fits", func(r *rules) { r.previousEntryMustMatch = false })
	add("snapshot-keeps", func(r *rules) { r.snapshotKeepsLaterEntries = false })
	return byName
}

// bounds limit a search.
type bounds struct {
	members   int
	bootstrap uint8
	terms     uint8
	entries   int
	changes   int  // membership changes in total; leaving a joint membership counts too
	joint     bool // allows joint changes, in which one member replaces another
	crashes   int  // crashes and disk losses in total
	installs  int  // installed snapshots in total
}

// modelEntry is a log entry: a no-op or ordinary one, or a membership change.
type modelEntry struct {
	term uint8
	modelGroup
}

// modelGroup is a membership. Each set of voters is a bit mask of members.
type modelGroup struct {
	voters   uint8 // 0 for an ordinary entry
	outgoing uint8 // previous voters during joint consensus, else 0
}

// entryBytes is the size of an encoded entry in modelMember.log.
const entryBytes = 3

// modelMember is the state of one member.
type modelMember struct {
	term        uint8
	vote        int8 // -1 for none
	isLeader    bool
	synced      uint8
	log         string // encoded entries, entryBytes each
	commitIndex uint8  // number of entries that the member, as leader, has committed
}

// modelState is the state of the group, with the resources of the bounds that were used. It is comparable.
type modelState struct {
	members   [5]modelMember
	committed string // the longest log that any leader has committed
	changes   uint8
	crashes   uint8
	installs  uint8
	violated  bool
}

// entries returns the number of entries.
func (m *modelMember) entries() int { return len(m.log) / entryBytes }
func (m *modelMember) entry(i int) modelEntry {
	at := m.log[entryBytes*i:]
	return modelEntry{term: at[0], modelGroup: modelGroup{voters: at[1], outgoing: at[2]}}
}
func (m *modelMember) append(entry modelEntry) {
	m.log += string([]byte{entry.term, entry.voters, entry.outgoing})
}

func (m *modelMember) lastTerm() uint8 {
	if len(m.log) == 0 {
		return 0
	}
	return m.log[len(m.log)-entryBytes]
}

// group returns the latest membership in the first within entries, and the number of entries up to it.
func (m *modelMember) group(within int, bootstrap uint8) (group modelGroup, at int) {
	for i := min(within, m.entries()) - 1; i >= 0; i-- {
		if group := m.entry(i).modelGroup; group.voters != 0 {
			return group, i + 1
		}
	}
	return modelGroup{voters: bootstrap}, 0
}

// model is a protocol with the bounds of a search.
type model struct {
	rules  rules
	bounds bounds
}

func (m *model) groupOf(member *modelMember) modelGroup {
	group, _ := member.group(member.entries(), m.bounds.bootstrap)
	return group
}

// hasQuorum reports whether the members in have include a majority of the group's voters and, during joint consensus,
// of the previous voters.
func (m *model) hasQuorum(group modelGroup, have uint8) bool {
	isMajority := func(of uint8) bool { return 2*bits.OnesCount8(of&have) > bits.OnesCount8(of) }
	return isMajority(group.voters) && (group.outgoing == 0 || !m.rules.jointQuorum || isMajority(group.outgoing))
}

// transitions calls visit with every successor of a state and the name of the step that leads to it.
func (m *model) transitions(s *modelState, visit func(name string, next modelState)) {
	for i := range m.bounds.members {
		m.electionTransitions(s, i, visit)
		if s.members[i].isLeader {
			m.leaderTransitions(s, i, visit)
		}
		if int(s.crashes) < m.bounds.crashes {
			m.failureTransitions(s, i, visit)
		}
	}
}

func (m *model) electionTransitions(s *modelState, candidate int, visit func(string, modelState)) {
	c := &s.members[candidate]
	group := m.groupOf(c)
	if c.term >= m.bounds.terms || (group.voters|group.outgoing)&(1<<candidate) == 0 {
		return
	}
	for term := c.term + 1; term <= m.bounds.terms; term++ {
		var granting uint8
		for other := range m.bounds.members {
			if other == candidate || m.grantsVote(s, other, candidate, term) {
				granting |= 1 << other
			}
		}
		for voters := granting; voters > 0; voters = (voters - 1) & granting {
			if voters&(1<<candidate) == 0 || !m.hasQuorum(group, voters) || m.hasRedundantVoter(group, voters, candidate) {
				continue
			}
			next := *s
			for other := range m.bounds.members {
				if voters&(1<<other) != 0 {
					next.members[other].term, next.members[other].vote, next.members[other].isLeader = term, int8(candidate), false
				}
			}
			next.members[candidate].isLeader = true
			next.members[candidate].append(modelEntry{term: term})
			if next.members[candidate].entries() <= m.bounds.entries {
				visit(fmt.Sprintf("elect %d term %d by %05b", candidate, term, voters), next)
			}
		}
	}
}

// hasRedundantVoter reports whether the voters are a quorum without one of them. Only minimal quorums are searched.
func (m *model) hasRedundantVoter(group modelGroup, voters uint8, candidate int) bool {
	for other := range m.bounds.members {
		rest := voters &^ (1 << other)
		if other != candidate && rest != voters && m.hasQuorum(group, rest) {
			return true
		}
	}
	return false
}

// grantsVote reports whether voter grants its vote to candidate in term.
func (m *model) grantsVote(s *modelState, voter, candidate int, term uint8) bool {
	v, c := &s.members[voter], &s.members[candidate]
	if v.term > term || m.rules.oneVotePerTerm && v.term == term && (v.vote != int8(candidate) || v.isLeader) {
		return false
	}
	ahead := v.lastTerm() > c.lastTerm() || v.lastTerm() == c.lastTerm() && v.entries() > c.entries()
	return !m.rules.voteComparesLogs || !ahead
}

func (m *model) leaderTransitions(s *modelState, i int, visit func(string, modelState)) {
	leader := &s.members[i]
	if int(leader.synced) < leader.entries() {
		next := *s
		next.members[i].synced = uint8(leader.entries())
		visit(fmt.Sprintf("sync %d", i), next)
	}
	for other := range m.bounds.members {
		if other != i {
			m.copyEntry(s, i, other, visit)
			m.installSnapshot(s, i, other, visit)
		}
	}
	m.commit(s, i, visit)
	m.changeMembership(s, i, visit)
}

// copyEntry copies the leader's next entry to a follower, which syncs it at once.
func (m *model) copyEntry(s *modelState, i, other int, visit func(string, modelState)) {
	leader, follower := &s.members[i], &s.members[other]
	if follower.term > leader.term {
		return
	}
	common := 0
	for common < len(leader.log) && common < len(follower.log) &&
		leader.log[common:common+entryBytes] == follower.log[common:common+entryBytes] {
		common += entryBytes
	}
	first := common
	if !m.rules.previousEntryMustMatch {
		first = max(common, min(len(follower.log), len(leader.log)-entryBytes))
	}
	if first >= len(leader.log) && follower.term == leader.term {
		return
	}
	next := *s
	f := &next.members[other]
	if f.term < leader.term {
		f.term, f.vote, f.isLeader = leader.term, -1, false
	}
	if first < len(leader.log) {
		f.log = f.log[:first] + leader.log[first:first+entryBytes]
		f.synced = uint8(f.entries())
	}
	f.commitIndex = min(f.commitIndex, uint8(f.entries()))
	visit(fmt.Sprintf("copy %d to %d", i, other), next)
}

// installSnapshot installs a snapshot of the leader's committed entries, which may arrive arbitrarily late.
func (m *model) installSnapshot(s *modelState, i, other int, visit func(string, modelState)) {
	leader, follower := &s.members[i], &s.members[other]
	if int(s.installs) >= m.bounds.installs || follower.term > leader.term {
		return
	}
	for count := 1; count <= int(leader.commitIndex); count++ {
		prefix := leader.log[:entryBytes*count]
		agrees := strings.HasPrefix(follower.log, prefix)
		if agrees && m.rules.snapshotKeepsLaterEntries {
			continue
		}
		next := *s
		next.installs++
		f := &next.members[other]
		if f.term < leader.term {
			f.term, f.vote, f.isLeader = leader.term, -1, false
		}
		f.log = prefix
		f.synced = uint8(f.entries())
		f.commitIndex = min(f.commitIndex, f.synced)
		visit(fmt.Sprintf("install %d of %d at %d", count, i, other), next)
	}
}

func (m *model) commit(s *modelState, i int, visit func(string, modelState)) {
	leader := &s.members[i]
	group := m.groupOf(leader)
	for count := int(leader.commitIndex) + 1; count <= leader.entries(); count++ {
		if m.rules.commitOwnTermOnly && leader.entry(count-1).term != leader.term {
			continue
		}
		var have uint8
		for other := range m.bounds.members {
			f := &s.members[other]
			holds := len(f.log) >= entryBytes*count && (f.log[:entryBytes*count] == leader.log[:entryBytes*count] || !m.rules.previousEntryMustMatch)
			if other == i {
				holds = !m.rules.countSyncedOnly || int(leader.synced) >= count
			}
			if holds && f.term == leader.term {
				have |= 1 << other
			}
		}
		if !m.hasQuorum(group, have) {
			continue
		}
		next := *s
		next.members[i].commitIndex = uint8(count)
		log := leader.log[:entryBytes*count]
		switch {
		case strings.HasPrefix(log, s.committed):
			next.committed = log
		case !strings.HasPrefix(s.committed, log):
			next.violated = true
		}
		visit(fmt.Sprintf("commit %d at %d", count, i), next)
	}
}

func (m *model) changeMembership(s *modelState, i int, visit func(string, modelState)) {
	leader := &s.members[i]
	if int(s.changes) >= m.bounds.changes || leader.entries() >= m.bounds.entries {
		return
	}
	group, at := leader.group(leader.entries(), m.bounds.bootstrap)
	mustBeCommitted := m.rules.changeAwaitsCommit
	if group.outgoing != 0 {
		mustBeCommitted = m.rules.jointAwaitsCommit
	}
	if mustBeCommitted && at > int(leader.commitIndex) {
		return
	}
	if m.rules.ownTermCommitBeforeChange && (leader.commitIndex == 0 || leader.entry(int(leader.commitIndex)-1).term != leader.term) {
		return
	}
	propose := func(name string, wanted modelGroup) {
		next := *s
		next.changes++
		next.members[i].append(modelEntry{term: leader.term, modelGroup: wanted})
		visit(fmt.Sprintf("%s %05b at %d", name, wanted.voters, i), next)
	}
	if group.outgoing != 0 {
		propose("end joint change to", modelGroup{voters: group.voters})
		propose("end joint change to", modelGroup{voters: group.outgoing})
		return
	}
	for wanted := uint8(1); wanted < 1<<m.bounds.members; wanted++ {
		changedMembers := bits.OnesCount8(wanted ^ group.voters)
		if changedMembers == 2 && m.bounds.joint && bits.OnesCount8(wanted) == bits.OnesCount8(group.voters) {
			propose("joint change to", modelGroup{voters: wanted, outgoing: group.voters})
		}
		if changedMembers == 0 || m.rules.oneMemberAtATime && changedMembers > 1 {
			continue
		}
		propose("change to", modelGroup{voters: wanted})
	}
}

// failureTransitions crash a member, which loses what it has not synced. In a mutation the member may also lose its
// disk and come back under the same identity.
func (m *model) failureTransitions(s *modelState, i int, visit func(string, modelState)) {
	member := &s.members[i]
	if int(member.synced) < member.entries() {
		next := *s
		f := &next.members[i]
		f.log, f.isLeader, f.commitIndex = f.log[:entryBytes*int(f.synced)], false, min(f.commitIndex, f.synced)
		next.crashes++
		visit(fmt.Sprintf("crash %d", i), next)
	}
	if !m.rules.newIdentityAfterDiskLoss {
		next := *s
		next.members[i] = modelMember{vote: -1}
		next.crashes++
		visit(fmt.Sprintf("empty the disk of %d", i), next)
	}
}

// violatesSafety reports whether a state violates a safety property: there is at most one leader per term, and each
// leader has all entries that were committed in earlier terms.
func (s *modelState) violatesSafety(members int) bool {
	for i := range members {
		leader := &s.members[i]
		if !leader.isLeader {
			continue
		}
		for other := range i {
			if s.members[other].isLeader && s.members[other].term == leader.term {
				return true
			}
		}
		if len(s.committed) > 0 && s.committed[len(s.committed)-entryBytes] < leader.term && !strings.HasPrefix(leader.log, s.committed) {
			return true
		}
	}
	return s.violated
}

func initialState() modelState {
	var s modelState
	for i := range s.members {
		s.members[i].vote = -1
	}
	return s
}
