package settings

import (
	"net"
	"slices"

	"stairrelay/internal/cluster"
)

// checkNodeNames checks that the host names of this controller and its peers are set
// and unique.
func (f *platformFile) checkNodeNames() error {
	if f.HostName == "" {
		return fieldErrorf("host_name", "missing")
	}
	seen := map[string]bool{f.HostName: true}
	for _, peer := range f.Peers {
		if peer.HostName == "" || seen[peer.HostName] {
			return fieldErrorf("peers.host_name", "%q is empty, duplicated or this controller's own name", peer.HostName)
		}
		seen[peer.HostName] = true
	}
	return nil
}

// checkAddresses checks that every address is a host and a port.
func (f *platformFile) checkAddresses() error {
	type addressField struct{ name, address string }
	fields := []addressField{
		{"listen", f.Listen},
		{"back", f.PeerListen},
		{"external.cloud", f.External.Cloud},
		{"external.state", f.External.Store},
	}
	for _, peer := range f.Peers {
		fields = append(fields, addressField{"peers.endpoint", peer.Endpoint})
	}
	for _, field := range fields {
		if _, _, err := net.SplitHostPort(field.address); err != nil {
			return fieldErrorf(field.name, "%q is not a host:port address", field.address)
		}
	}
	return nil
}

// checkNodeCount checks that cluster.count, if it is set, is the number of controllers
// in the file.
func (f *platformFile) checkNodeCount() error {
	named := len(f.Peers) + 1
	if stated := f.Cluster.Count; stated != 0 && stated != named {
		return fieldErrorf("cluster.count", "%d does not match the number of controllers in the file, which is %d", stated, named)
	}
	return nil
}

// setNodes sets the name and zone of this controller, the sorted names of all
// controllers and the addresses of the peers.
func (s *Settings) setNodes(file *platformFile) {
	s.Controller.Self = cluster.NodeID(file.HostName)
	s.Controller.Zone = file.Zone
	s.Controller.Nodes = []cluster.NodeID{s.Controller.Self}
	s.PeerAddresses = map[cluster.NodeID]string{}
	for _, peer := range file.Peers {
		node := cluster.NodeID(peer.HostName)
		s.PeerAddresses[node] = peer.Endpoint
		s.Controller.Nodes = append(s.Controller.Nodes, node)
	}
	slices.Sort(s.Controller.Nodes)
}
