package peer

import (
	"bytes"
	"reflect"
	"testing"
	"time"

	"mulleinfall/internal/core"
)

// TestFramesRoundTrip checks that messages and their sender are the same after encoding and
// decoding.
func TestFramesRoundTrip(t *testing.T) {
	msgs := []core.PeerMsg{
		{Kind: core.MsgVoteRequest, Term: 7, Sent: 3 * time.Second, StoreOK: true, StoreAge: time.Millisecond},
		{Kind: core.MsgChange, Key: "k", Value: []byte(`{"a":1}`), Stamp: 1 << 52},
		{Kind: core.MsgRunningCounts, Counts: map[string]int{"req-000001": 3}},
	}
	var stream bytes.Buffer
	for _, m := range msgs {
		frame, err := encode(envelope{"n0", m})
		if err != nil {
			t.Fatal(err)
		}
		stream.Write(frame)
	}
	var got []core.PeerMsg
	if err := ReadFrames(&stream, func(from string, m core.PeerMsg) {
		if from != "n0" {
			t.Errorf("got sender %q, want \"n0\"", from)
		}
		got = append(got, m)
	}); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, msgs) {
		t.Errorf("got messages %+v, want those that were encoded", got)
	}
}

// TestBadFramesEndTheConnection checks that ReadFrames returns an error for an invalid
// frame, which ends the connection, and delivers no message.
func TestBadFramesEndTheConnection(t *testing.T) {
	for name, frame := range map[string][]byte{
		"too long":  {0xff, 0xff, 0xff, 0xff},
		"cut short": {0, 0, 0, 9, 1},
		"garbage":   {0, 0, 0, 2, 0xc1, 0xc1},
	} {
		if err := ReadFrames(bytes.NewReader(frame), func(string, core.PeerMsg) { t.Errorf("%s: got a message, want none", name) }); err == nil {
			t.Errorf("%s: got no error, want one", name)
		}
	}
}
