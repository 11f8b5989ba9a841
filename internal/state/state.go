package state

import (
	"cmp"
	"slices"
	"sort"

	"stairrelay/internal/cluster"
	"stairrelay/internal/grouprecord"
	"stairrelay/internal/writequeue"
)

// State is all that a controller knows of the shards.
type State struct {
	// Shards are all shards, by number.
	Shards []*Shard
	// Machines and Groups are those of the owned shards.
	Machines map[cluster.MachineID]*Machine
	Groups   map[string]*MachineGroup
	// Jobs are those of all shards, as far as they are known.
	Jobs JobRegistry
	// Teams are those of the settings, with the shards that serve them.
	Teams map[string]*Team
	// MachineTypes are those of the cloud, as last heard.
	MachineTypes map[string]cluster.MachineType
}

// New makes the state of a cluster of which nothing is known but its nodes and
// teams. The node of a number is the preferred owner of the shard of that number.
func New(nodes []cluster.NodeID, teams []cluster.Team) *State {
	s := &State{
		Machines:     map[cluster.MachineID]*Machine{},
		Groups:       map[string]*MachineGroup{},
		Jobs:         NewJobRegistry(),
		Teams:        map[string]*Team{},
		MachineTypes: map[string]cluster.MachineType{},
	}
	for i, node := range nodes {
		s.Shards = append(s.Shards, NewShard(cluster.ShardID(i), node))
	}
	shardOf := AssignTeamsToShards(teams, len(nodes))
	for _, team := range teams {
		s.Teams[team.Name] = &Team{Team: team, ShardID: shardOf[team.Name]}
	}
	return s
}

// SortedGroups lists the groups of the owned shards by id.
func (s *State) SortedGroups() []*MachineGroup {
	groups := make([]*MachineGroup, 0, len(s.Groups))
	for _, group := range s.Groups {
		groups = append(groups, group)
	}
	slices.SortFunc(groups, func(a, b *MachineGroup) int { return cmp.Compare(a.ID, b.ID) })
	return groups
}

// AddGroup adds a group without machines to an owned shard.
func (s *State) AddGroup(shard *Shard, id string, modRevision cluster.ModRevision) *MachineGroup {
	g := &MachineGroup{
		ID:                id,
		ShardID:           shard.ID,
		ModRevision:       modRevision,
		Machines:          map[cluster.MachineID]*Machine{},
		NextWritePriority: writequeue.PriorityCount,
	}
	s.Groups[id] = g
	return g
}

// AddMachine adds the machine that a line of a group's record describes, owned from now
// on under a token. It replaces an earlier entry for the same machine, whose
// assignments it keeps.
func (s *State) AddMachine(g *MachineGroup, line grouprecord.Machine, token cluster.FencingToken, now cluster.Time) *Machine {
	m := NewMachine(g, line, token, now)
	if old := s.Machines[m.ID]; old != nil {
		s.RemoveMachine(old)
		m.Assignments = old.Assignments
	}
	shard := s.Shards[m.ShardID]
	m.Usage.ByTeam = shard.Usage
	for _, a := range m.Assignments {
		m.Usage.Add(a)
	}
	g.Machines[m.ID] = m
	s.Machines[m.ID] = m
	i := sort.Search(len(shard.Machines), func(i int) bool { return shard.Machines[i].ID >= m.ID })
	shard.Machines = slices.Insert(shard.Machines, i, m)
	return m
}

// RemoveMachine takes a machine out of its group and its shard. Its assignments stay
// with it; they are not counted in any usage any more.
func (s *State) RemoveMachine(m *Machine) {
	if s.Machines[m.ID] == m {
		delete(s.Machines, m.ID)
	}
	delete(m.Group.Machines, m.ID)
	for _, a := range m.Assignments {
		m.Usage.Remove(a)
	}
	shard := s.Shards[m.ShardID]
	if i := slices.Index(shard.Machines, m); i >= 0 {
		shard.Machines = slices.Delete(slices.Clone(shard.Machines), i, i+1) // a caller may be ranging over the old slice
	}
}
