package core

import (
	"encoding/json"
	"time"

	"mulleinfall/internal/model"
)

// Requests that a peer serves, because this node has lost the state service.

// requester is who asked: a user's request here, or one that a peer passes on
// because it doesn't reach the state service.
type requester struct {
	requestID uint64
	peer      string
	forwardID uint64
}

// forwardedRequest is a request passed on to a peer.
type forwardedRequest struct {
	requester requester
	deadline  time.Duration
}

// notifyPeers tells the other nodes of a change that is durable, ahead of the
// watch. A late copy is older than what they know and changes nothing.
func (s *State) notifyPeers(key string, value []byte) {
	for _, p := range s.cfg.Peers {
		s.emit(PeerOut{p, PeerMsg{Kind: MsgChange, Key: key, Value: value, Stamp: s.modRevisions[key]}})
	}
}

// forwardToPeer hands a user's request to a peer that reaches the state service. One
// hop only. It may follow a try of our own whose outcome isn't known: the
// change is the same and guarded, so that it is made once.
func (s *State) forwardToPeer(o requester, verb, id string, value []byte, wall int64) bool {
	if o.peer != "" {
		return false
	}
	for _, name := range s.cfg.Peers {
		p := s.peers[name]
		if !p.reachesStore || s.now-p.heardAt > s.electionConfig.PromiseDuration {
			continue
		}
		s.userRequests.forwardSeq++
		s.forwarded[s.userRequests.forwardSeq] = &forwardedRequest{o, s.now + userRequestTimeout}
		s.emit(PeerOut{name, PeerMsg{Kind: MsgForward, Ask: s.userRequests.forwardSeq, Verb: verb, Key: id, Value: value, Wall: wall}})
		return true
	}
	return false
}

func (s *State) expireForwards() {
	for _, id := range sortedKeys(s.forwarded) {
		a := s.forwarded[id]
		if s.now >= a.deadline {
			delete(s.forwarded, id)
			s.replyRetryLater(a.requester, "no answer from a peer")
		}
	}
}

// handleForward serves a request that a peer passes on.
func (s *State) handleForward(from string, m PeerMsg) {
	o := requester{peer: from, forwardID: m.Ask}
	switch m.Verb {
	case "submit":
		var spec model.Job
		if err := json.Unmarshal(m.Value, &spec); err != nil {
			s.replyRetryLater(o, "garbled")
			return
		}
		s.submit(o, spec, m.Wall)
	case "poll":
		s.poll(o, m.Key)
	case "withdraw":
		s.cancel(o, m.Key)
	}
}

func (s *State) handleForwardReply(m PeerMsg) {
	a := s.forwarded[m.Ask]
	if a == nil {
		return
	}
	delete(s.forwarded, m.Ask)
	s.replyToUser(a.requester, m.Status, json.RawMessage(m.Value), m.Retry)
}
