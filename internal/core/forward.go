package core

import (
	"encoding/json"
	"time"

	"mulleinfall/internal/exactjson"
	"mulleinfall/internal/model"
)

// A controller that has lost the state service forwards users' requests to a peer, and
// passes the peer's replies to the users.

// requester identifies where a request came from and where its reply goes: a user of
// this controller (requestID), or a peer that has forwarded a user's request because it
// does not reach the state service (peer and forwardID).
type requester struct {
	requestID uint64
	peer      string
	forwardID uint64
}

// forwardedRequest is a user's request that was forwarded to a peer.
type forwardedRequest struct {
	requester requester
	deadline  time.Duration
}

// notifyPeers sends a durable change to the peers, which get it earlier than through
// their watch. If the notice arrives late, the peers know a newer revision and ignore it.
func (s *State) notifyPeers(key string, value []byte) {
	for _, p := range s.cfg.Peers {
		s.emit(PeerOut{p, PeerMsg{Kind: MsgChange, Key: key, Value: value, Stamp: s.modRevisions[key]}})
	}
}

// forwardToPeer forwards a user's request to a peer that reaches the state service and was
// heard recently, and reports whether there was one. A request that a peer has forwarded
// is not forwarded again. This controller may have tried the same change before without
// learning the outcome. That is safe: the preconditions ensure that the change is made
// only once.
func (s *State) forwardToPeer(from requester, verb, id string, value []byte, wallMs int64) bool {
	if from.peer != "" {
		return false
	}
	for _, name := range s.cfg.Peers {
		peer := s.peers[name]
		if !peer.reachesStore || s.now-peer.heardAt > s.electionConfig.PromiseDuration {
			continue
		}
		s.userRequests.forwardSeq++
		s.forwarded[s.userRequests.forwardSeq] = &forwardedRequest{from, s.now + userRequestTimeout}
		s.emit(PeerOut{name, PeerMsg{Kind: MsgForward, Ask: s.userRequests.forwardSeq, Verb: verb, Key: id, Value: value, Wall: wallMs}})
		return true
	}
	return false
}

// expireForwards asks the users whose forwarded requests have timed out to retry later.
func (s *State) expireForwards() {
	for _, id := range sortedKeys(s.forwarded) {
		request := s.forwarded[id]
		if s.now >= request.deadline {
			delete(s.forwarded, id)
			s.replyRetryLater(request.requester, "no answer from a peer")
		}
	}
}

// handleForward serves a request that a peer has forwarded.
func (s *State) handleForward(peer string, message PeerMsg) {
	from := requester{peer: peer, forwardID: message.Ask}
	switch message.Verb {
	case "submit":
		var spec model.Job
		if err := exactjson.Unmarshal(message.Value, &spec); err != nil {
			s.replyRetryLater(from, "garbled")
			return
		}
		s.submit(from, spec, message.Wall)
	case "poll":
		s.poll(from, message.Key)
	case "withdraw":
		s.cancel(from, message.Key)
	}
}

// handleForwardReply passes a peer's reply to the user who made the request.
func (s *State) handleForwardReply(message PeerMsg) {
	request := s.forwarded[message.Ask]
	if request == nil {
		return
	}
	delete(s.forwarded, message.Ask)
	s.replyToUser(request.requester, message.Status, json.RawMessage(message.Value), message.Retry)
}
