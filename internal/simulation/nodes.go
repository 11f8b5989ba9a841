package simulation

import (
	"fmt"
	"runtime/metrics"
	"time"

	"stairrelay/internal/cluster"
	"stairrelay/internal/controller"
	"stairrelay/internal/messages"
)

// nodeSet holds the controllers' nodes.
type nodeSet struct {
	*environment
	stepMeter
	Nodes               []*Node
	network             *Network
	execute             func(*Node, messages.Effect) // executes a controller's effect
	observe             EffectObserver
	instanceCount       int
	lastKillAt          cluster.Time // when a process last ended
	limitsBeforeUpgrade StoreLimits
}

func newNodeSet(env *environment, network *Network) *nodeSet {
	set := &nodeSet{
		environment: env,
		network:     network,
		observe:     func(cluster.Time, cluster.NodeID, messages.Effect) {},
	}
	for _, id := range env.config.Nodes {
		set.Nodes = append(set.Nodes, &Node{ID: id, set: set})
	}
	return set
}

// Controllers lists the controllers whose processes are running.
func (s *nodeSet) Controllers() []*controller.Controller {
	var running []*controller.Controller
	for _, node := range s.Nodes {
		if node.running {
			running = append(running, node.controller)
		}
	}
	return running
}

// byID finds a node; nil: there is none of that name.
func (s *nodeSet) byID(id cluster.NodeID) *Node {
	for _, node := range s.Nodes {
		if node.ID == id {
			return node
		}
	}
	return nil
}

// newInstanceID names the next process.
func (s *nodeSet) newInstanceID() string {
	s.instanceCount++
	return fmt.Sprintf("b%d", s.instanceCount)
}

// random draws a node.
func (s *nodeSet) random() *Node { return s.Nodes[s.Rand.IntN(len(s.Nodes))] }

// stepMeter measures what the controllers' steps cost.
type stepMeter struct {
	// ControllerTime is the real time that the controllers took.
	ControllerTime time.Duration
	// StepCount counts the events that the controllers were given.
	StepCount int
	// CountAllocations turns the counting of allocations on, which takes time itself.
	CountAllocations bool
	// Allocations counts the objects that the controllers allocated.
	Allocations uint64
}

// measure runs a step of a controller and adds up what it cost.
func (m *stepMeter) measure(step func() []messages.Effect) []messages.Effect {
	m.StepCount++
	allocated := m.readAllocations()
	begun := time.Now()
	effects := step()
	m.ControllerTime += time.Since(begun)
	m.Allocations += m.readAllocations() - allocated
	return effects
}

// readAllocations is how many objects the test process has allocated so far; 0
// when they are not counted.
func (m *stepMeter) readAllocations() uint64 {
	if !m.CountAllocations {
		return 0
	}
	sample := []metrics.Sample{{Name: "/gc/heap/allocs:objects"}}
	metrics.Read(sample)
	return sample[0].Value.Uint64()
}
