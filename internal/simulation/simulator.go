// Package simulation runs controllers in simulated time against fakes of the
// store, the cloud, the workers and the users. It injects faults and checks the
// scheduler's invariants throughout the run.
//
// The components of a simulation share an environment with the simulated clock
// and the random source. The file simulator.go assembles them.
package simulation

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/controller"
	"stairrelay/internal/messages"
)

// checkInterval is how often the machines advance and the invariants are checked.
const checkInterval = 500 * millisecond

// Simulator is a simulated cluster. It consists of controllers, fakes of the
// services that they use, a network that delays and loses messages, users that
// submit jobs, and a checker of the invariants.
type Simulator struct {
	*environment
	*nodeSet
	*jobTable
	Store            *FakeStore
	Cloud            *FakeCloud
	Network          *Network
	StoreAPI         *StoreAPI
	CloudAPI         *CloudAPI
	Machines         *Machines
	Users            *Users
	Failovers        *Failovers
	Cancellations    *Cancellations
	ReadAfterWrite   *ReadAfterWrite
	EdgeCaseRequests *EdgeCaseRequests
	StartCopies      *StartCopies
	UnknownFields    *UnknownFields
	checker          *invariantChecker
}

// EffectObserver is called with every effect that a controller requests, in the
// order of the requests.
type EffectObserver func(now cluster.Time, node cluster.NodeID, effect messages.Effect)

// Option configures a Simulator before its controllers start.
type Option func(*Simulator)

// ObserveEffects returns an Option that calls observe with every effect.
func ObserveEffects(observe EffectObserver) Option {
	return func(s *Simulator) { s.observe = observe }
}

// NewSimulator returns a simulated cluster in which all controllers have started.
func NewSimulator(seed uint64, cfg controller.Config, cloud *FakeCloud, options ...Option) *Simulator {
	s := assemble(seed, cfg, cloud, options)
	s.start()
	return s
}

// assemble returns a simulated cluster whose controllers have not started yet.
func assemble(seed uint64, cfg controller.Config, cloud *FakeCloud, options []Option) *Simulator {
	env := newEnvironment(seed, cfg)
	network := &Network{environment: env}
	s := &Simulator{
		environment: env,
		nodeSet:     newNodeSet(env, network),
		jobTable:    newJobTable(),
		Store:       NewFakeStore(),
		Cloud:       cloud,
		Network:     network,
	}
	s.UnknownFields = s.unknownFields
	s.assembleMachines()
	s.assembleUsers()
	s.assembleServices()
	s.assembleChecker()
	for _, option := range options {
		option(s)
	}
	return s
}

// assembleMachines adds the machines and their workers.
func (s *Simulator) assembleMachines() {
	s.Failovers = &Failovers{environment: s.environment, nodes: s.nodeSet, owners: map[string]string{}}
	s.Machines = &Machines{
		environment: s.environment,
		Workers:     map[cluster.MachineID]*SimulatedWorker{},
		cloud:       s.Cloud,
		nodes:       s.nodeSet,
		jobs:        s.jobTable,
	}
	s.StartCopies = &StartCopies{environment: s.environment, machines: s.Machines, messages: map[cluster.MachineID][]StartCopy{}}
	s.Machines.heartbeats = &heartbeatSender{
		environment: s.environment,
		nodes:       s.nodeSet,
		network:     s.Network,
		machines:    s.Machines,
		failovers:   s.Failovers,
		copies:      s.StartCopies,
	}
}

// assembleUsers adds the users and the components that make further requests on
// their behalf.
func (s *Simulator) assembleUsers() {
	env, nodes, jobs := s.environment, s.nodeSet, s.jobTable
	s.Users = &Users{environment: env, nodes: nodes, jobs: jobs, network: s.Network}
	s.ReadAfterWrite = &ReadAfterWrite{environment: env, nodes: nodes, users: s.Users}
	s.Users.readAfterWrite = s.ReadAfterWrite
	s.EdgeCaseRequests = &EdgeCaseRequests{environment: env, nodes: nodes, users: s.Users, jobs: jobs}
	s.Cancellations = &Cancellations{environment: env, users: s.Users, jobs: jobs, machines: s.Machines}
	s.Machines.onTaskDone = s.Cancellations.handleTaskDone
}

// assembleServices connects the controllers to the services, to the workers and
// to each other.
func (s *Simulator) assembleServices() {
	env, network := s.environment, s.Network
	s.StoreAPI = &StoreAPI{environment: env, store: s.Store, network: network, failovers: s.Failovers}
	s.CloudAPI = &CloudAPI{environment: env, cloud: s.Cloud, network: network, machines: s.Machines}
	executor := &effectExecutor{
		environment: env,
		store:       s.StoreAPI,
		cloud:       s.CloudAPI,
		commands:    &commandChannel{environment: env, network: network, machines: s.Machines, copies: s.StartCopies},
		peers:       &peerChannel{environment: env, network: network, nodes: s.nodeSet},
	}
	s.execute = executor.execute
}

// assembleChecker adds the invariant checker.
func (s *Simulator) assembleChecker() {
	s.checker = &invariantChecker{
		environment: s.environment,
		jobs:        s.jobTable,
		nodes:       s.nodeSet,
		machines:    s.Machines,
		store:       s.StoreAPI,
		cloud:       s.CloudAPI,
		starvation:  &starvationChecker{environment: s.environment, jobs: s.jobTable, machines: s.Machines},
		startedOn:   map[cluster.TaskID][]cluster.MachineID{},
	}
	s.Users.checker = s.checker
	s.Machines.onTaskStart = s.checker.handleTaskStart
}

// start starts all controllers and the periodic checks.
func (s *Simulator) start() {
	for _, node := range s.Nodes {
		node.Start()
	}
	s.repeatEvery(checkInterval, func() {
		s.Machines.advance()
		s.checker.checkAll()
	})
}

// BusiestNode returns the node to which most workers send their heartbeats, considering
// only nodes with a running controller. The result is nil if no controller is running.
func (s *Simulator) BusiestNode() *Node {
	workerCounts := make([]int, len(s.Nodes))
	for _, id := range s.Machines.liveIDs() {
		workerCounts[s.Machines.Workers[id].nodeIndex]++
	}
	var busiest *Node
	most := -1
	for i, node := range s.Nodes {
		if node.running && workerCounts[i] > most {
			busiest = node
			most = workerCounts[i]
		}
	}
	return busiest
}
