package config

// Sockets is how a process shares out the sockets that it may have.
type Sockets struct {
	Public int // users' and workers' connections
	Direct int // direct commands under way
	Idle   int // connections to workers that are kept for the next command
	Other  int // state service, cloud, controllers, listeners and the runtime's own
}

// perController bounds the connections from and to one other controller: one
// each way, and as many again that were cut off and are not given up yet.
const perController = 6

// Sockets shares out fd_limit. Workers keep their connections, and after an
// election all of them come to one controller, so nearly all are public.
func (s *Settings) Sockets() Sockets {
	n := s.Params.Limits.Files
	k := Sockets{Direct: max(n/16, 1), Idle: n / 16, Other: max(n/16, 16+perController*len(s.Peers))}
	k.Public = n - k.Direct - k.Idle - k.Other
	return k
}
