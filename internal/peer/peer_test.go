package peer

import (
	"bytes"
	"reflect"
	"testing"
	"time"

	"mulleinfall/internal/core"
)

func TestFramesRoundTrip(t *testing.T) {
	msgs := []core.PeerMsg{
		{Kind: core.MsgVoteRequest, Term: 7, Sent: 3 * time.Second, StoreOK: true, StoreAge: time.Millisecond},
		{Kind: core.MsgChange, Key: "k", Value: []byte(`{"a":1}`), Stamp: 1 << 52},
		{Kind: core.MsgRunningCounts, Counts: map[string]int{"req-000001": 3}},
	}
	var wire bytes.Buffer
	for _, m := range msgs {
		b, err := encode(envelope{"n0", m})
		if err != nil {
			t.Fatal(err)
		}
		wire.Write(b)
	}
	var got []core.PeerMsg
	if err := ReadFrames(&wire, func(from string, m core.PeerMsg) {
		if from != "n0" {
			t.Errorf("from %q", from)
		}
		got = append(got, m)
	}); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, msgs) {
		t.Errorf("got %+v", got)
	}
}

func TestBadFramesEndTheConnection(t *testing.T) {
	for name, b := range map[string][]byte{
		"too long":  {0xff, 0xff, 0xff, 0xff},
		"cut short": {0, 0, 0, 9, 1},
		"garbage":   {0, 0, 0, 2, 0xc1, 0xc1},
	} {
		if err := ReadFrames(bytes.NewReader(b), func(string, core.PeerMsg) { t.Errorf("%s: delivered", name) }); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}
