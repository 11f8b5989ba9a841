package settings

import (
	"net"
	"slices"

	"stairrelay/internal/cluster"
)

// checkNodeNames checks that this controller and its peers have names of their own.
func (f *platformFile) checkNodeNames() error {
	if f.HostName == "" {
		return fieldErrorf("host_name", "missing")
	}
	seen := map[string]bool{f.HostName: true}
	for _, peer := range f.Peers {
		if peer.HostName == "" || seen[peer.HostName] {
			return fieldErrorf("peers.host_name", "%q is missing, repeated or this controller's own", peer.HostName)
		}
		seen[peer.HostName] = true
	}
	return nil
}

// checkAddresses checks that every address has a port.
func (f *platformFile) checkAddresses() error {
	type addressField struct{ name, address string }
	fields := []addressField{
		{"listen", f.Listen},
		{"back", f.Back},
		{"external.cloud", f.External.Cloud},
		{"external.state", f.External.State},
	}
	for _, peer := range f.Peers {
		fields = append(fields, addressField{"peers.endpoint", peer.Endpoint})
	}
	for _, field := range fields {
		if _, _, err := net.SplitHostPort(field.address); err != nil {
			return fieldErrorf(field.name, "%q is not an address with a port", field.address)
		}
	}
	return nil
}

// checkNodeCount checks the stated number of controllers, if there is one, against
// those that are named.
func (f *platformFile) checkNodeCount() error {
	named := len(f.Peers) + 1
	if stated := f.Cluster.Count; stated != 0 && stated != named {
		return fieldErrorf("cluster.count", "%d, but peers and this controller make %d", stated, named)
	}
	return nil
}

// setNodes sets the names of all controllers, sorted, and the peers' addresses.
func (s *Settings) setNodes(file *platformFile) {
	s.Controller.Self = cluster.NodeID(file.HostName)
	s.Controller.Zone = file.Domain
	s.Controller.Nodes = []cluster.NodeID{s.Controller.Self}
	s.PeerAddresses = map[cluster.NodeID]string{}
	for _, peer := range file.Peers {
		node := cluster.NodeID(peer.HostName)
		s.PeerAddresses[node] = peer.Endpoint
		s.Controller.Nodes = append(s.Controller.Nodes, node)
	}
	slices.Sort(s.Controller.Nodes)
}
