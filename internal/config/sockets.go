package config

// SocketLimits is how a process shares out the sockets that it may have.
type SocketLimits struct {
	Public         int // users' and workers' connections
	DirectCommands int // direct commands under way
	IdleWorkers    int // connections to workers that are kept for the next command
	Other          int // state service, cloud, controllers, listeners and the runtime's own
}

// socketsPerPeer bounds the connections from and to one other controller: one
// each way, and as many again that were cut off and are not given up yet.
const socketsPerPeer = 6

// SocketLimits shares out fd_limit. Workers keep their connections, and after an
// election all of them come to one controller, so nearly all are public.
func (s *Settings) SocketLimits() SocketLimits {
	n := s.Params.Limits.Files
	k := SocketLimits{DirectCommands: max(n/16, 1), IdleWorkers: n / 16, Other: max(n/16, 16+socketsPerPeer*len(s.Peers))}
	k.Public = n - k.DirectCommands - k.IdleWorkers - k.Other
	return k
}
