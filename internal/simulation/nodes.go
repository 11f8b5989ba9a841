package simulation

import (
	"fmt"
	"runtime/metrics"
	"time"

	"stairrelay/internal/cluster"
	"stairrelay/internal/controller"
	"stairrelay/internal/messages"
)

// nodeSet holds the nodes on which the controllers run.
type nodeSet struct {
	*environment
	stepMeter
	Nodes               []*Node
	network             *Network
	execute             func(*Node, messages.Effect)
	observe             EffectObserver
	unknownFields       *UnknownFields
	instanceCount       int
	lastKillAt          cluster.Time // when a controller process was last killed
	limitsBeforeUpgrade StoreLimits
}

func newNodeSet(env *environment, network *Network) *nodeSet {
	set := &nodeSet{
		environment:   env,
		network:       network,
		observe:       func(cluster.Time, cluster.NodeID, messages.Effect) {},
		unknownFields: &UnknownFields{environment: env},
	}
	for _, id := range env.config.Nodes {
		set.Nodes = append(set.Nodes, &Node{ID: id, set: set})
	}
	return set
}

// Controllers returns the controllers whose processes are running.
func (s *nodeSet) Controllers() []*controller.Controller {
	var running []*controller.Controller
	for _, node := range s.Nodes {
		if node.running {
			running = append(running, node.controller)
		}
	}
	return running
}

// byID returns the node with the given ID, or nil if there is none.
func (s *nodeSet) byID(id cluster.NodeID) *Node {
	for _, node := range s.Nodes {
		if node.ID == id {
			return node
		}
	}
	return nil
}

// newInstanceID returns the instance ID for the next process.
func (s *nodeSet) newInstanceID() string {
	s.instanceCount++
	return fmt.Sprintf("b%d", s.instanceCount)
}

func (s *nodeSet) randomNode() *Node { return s.Nodes[s.Rand.IntN(len(s.Nodes))] }

// stepMeter measures the cost of the controllers' steps.
type stepMeter struct {
	// ControllerTime is the wall-clock time spent in controllers' steps.
	ControllerTime time.Duration
	// StepCount is the number of events that the controllers have handled.
	StepCount int
	// CountAllocations enables Allocations. Reading the metrics adds to the run time.
	CountAllocations bool
	// Allocations is the number of heap objects that the controllers have allocated.
	Allocations uint64
}

// measure runs a controller step and records its cost.
func (m *stepMeter) measure(step func() []messages.Effect) []messages.Effect {
	m.StepCount++
	allocated := m.readAllocations()
	start := time.Now()
	effects := step()
	m.ControllerTime += time.Since(start)
	m.Allocations += m.readAllocations() - allocated
	return effects
}

// readAllocations returns how many heap objects the test process has allocated so
// far, or 0 if CountAllocations is not set.
func (m *stepMeter) readAllocations() uint64 {
	if !m.CountAllocations {
		return 0
	}
	sample := []metrics.Sample{{Name: "/gc/heap/allocs:objects"}}
	metrics.Read(sample)
	return sample[0].Value.Uint64()
}
