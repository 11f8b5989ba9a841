package state

import "stairrelay/internal/cluster"

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
