package config

// SocketLimits divides the file descriptors of the process between their uses.
type SocketLimits struct {
	Public         int // connections of users and workers
	DirectCommands int // direct commands (calls to workers) in progress
	IdleWorkers    int // idle connections to workers, kept for the next command
	Other          int // state service, cloud, other controllers, listeners, and the Go runtime
}

// socketsPerPeer is the number of file descriptors reserved for the connections from
// and to one other controller: one in each direction, and the rest for older ones that
// were cut off and have not timed out yet.
const socketsPerPeer = 6

// SocketLimits divides the setting fd_limit. Workers keep their connections open,
// and after an election all workers connect to the same controller, so most file
// descriptors are for public connections.
func (s *Settings) SocketLimits() SocketLimits {
	total := s.Params.Limits.Files
	limits := SocketLimits{DirectCommands: max(total/16, 1), IdleWorkers: total / 16, Other: max(total/16, 16+socketsPerPeer*len(s.Peers))}
	limits.Public = total - limits.DirectCommands - limits.IdleWorkers - limits.Other
	return limits
}
