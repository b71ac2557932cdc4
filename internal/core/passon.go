package core

import (
	"encoding/json"
	"time"

	"mulleinfall/internal/model"
)

// Requests that a peer serves, because this node has lost the state service.

// origin is who asked: a user's request here, or one that a peer passes on
// because it doesn't reach the state service.
type origin struct {
	req  uint64
	peer string
	ask  uint64
}

// ask is a request passed on to a peer.
type ask struct {
	from  origin
	until time.Duration
}

// nudge tells the other nodes of a change that is durable, ahead of the
// watch. A late copy is older than what they know and changes nothing.
func (s *State) nudge(key string, value []byte) {
	for _, p := range s.cfg.Peers {
		s.emit(PeerOut{p, PeerMsg{Kind: MsgNudge, Key: key, Value: value, Stamp: s.stamps[key]}})
	}
}

// passOn hands a user's request to a peer that reaches the state service. One
// hop only. It may follow a try of our own whose outcome isn't known: the
// change is the same and guarded, so that it is made once.
func (s *State) passOn(o origin, verb, id string, value []byte, wall int64) bool {
	if o.peer != "" {
		return false
	}
	for _, name := range s.cfg.Peers {
		p := s.peers[name]
		if !p.storeOK || s.now-p.heard > s.ecf.Promise {
			continue
		}
		s.users.askSeq++
		s.asks[s.users.askSeq] = &ask{o, s.now + userWait}
		s.emit(PeerOut{name, PeerMsg{Kind: MsgAsk, Ask: s.users.askSeq, Verb: verb, Key: id, Value: value, Wall: wall}})
		return true
	}
	return false
}

func (s *State) expireAsks() {
	for _, id := range ordered(s.asks) {
		a := s.asks[id]
		if s.now >= a.until {
			delete(s.asks, id)
			s.later(a.from, "no answer from a peer")
		}
	}
}

// askedBy serves a request that a peer passes on.
func (s *State) askedBy(from string, m PeerMsg) {
	o := origin{peer: from, ask: m.Ask}
	switch m.Verb {
	case "submit":
		var spec model.Job
		if err := json.Unmarshal(m.Value, &spec); err != nil {
			s.later(o, "garbled")
			return
		}
		s.submit(o, spec, m.Wall)
	case "poll":
		s.poll(o, m.Key)
	case "withdraw":
		s.withdraw(o, m.Key)
	}
}

func (s *State) answered(m PeerMsg) {
	a := s.asks[m.Ask]
	if a == nil {
		return
	}
	delete(s.asks, m.Ask)
	s.answer(a.from, m.Status, json.RawMessage(m.Value), m.Retry)
}
