package state

import (
	"cmp"
	"slices"
	"sort"

	"stairrelay/internal/cluster"
	"stairrelay/internal/grouprecord"
	"stairrelay/internal/writequeue"
)

// State is what a controller knows of all shards.
type State struct {
	// Shards holds all shards, indexed by their ID.
	Shards []*Shard
	// Machines and Groups hold the machines and machine groups of the owned shards.
	Machines map[cluster.MachineID]*Machine
	Groups   map[string]*MachineGroup
	// Jobs holds the known jobs of all shards.
	Jobs JobRegistry
	// Teams holds the configured teams and the shards that serve them.
	Teams map[string]*Team
	// MachineTypes holds the known machine types of the cloud.
	MachineTypes map[string]cluster.MachineType
}

// New returns the state of a cluster of which only the nodes and teams are known. Each
// node is the preferred owner of the shard with the same index.
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

// SortedGroups returns the groups of the owned shards sorted by ID.
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

// AddMachine adds the machine described by an entry of a group's record to the group and
// its shard. The machine is owned from now on under the given fencing token. If a machine
// with the same ID exists, the new one replaces it and takes over its assignments.
func (s *State) AddMachine(g *MachineGroup, entry grouprecord.Machine, token cluster.FencingToken, now cluster.Time) *Machine {
	m := NewMachine(g, entry, token, now)
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

// RemoveMachine removes a machine from its group and its shard. The machine keeps its
// assignments, but they no longer count in any usage.
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
