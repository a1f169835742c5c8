package gateway

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"galenadyke.dev/core/gateway"
)

// Guards against fields of a reply that are lost on the way between instances.
func TestForwardReplyIsDecodedAsItWasEncoded(t *testing.T) {
	ends := []gateway.BatchEnd{
		{Index: 2, Refused: true},
		{Index: 0, End: gateway.AttemptEnded{Outcome: gateway.OutcomeSuccess, Status: 200, Part: gateway.Part{Stamp: "stamp"},
			Reused: true, Load: gateway.Load{Running: 1, Waiting: 2, Slots: 3}, HasLoad: true}},
		{Index: 1, End: gateway.AttemptEnded{Outcome: gateway.OutcomeBroken, Cause: "reset", HasCold: true, RateLimit: 2.5, HasRateLimit: true}},
	}
	want := gateway.BatchReplied{Batch: 7, Ends: ends, Records: []byte("0123456789abcdef"), Stopping: true}
	got := decodeForwardReply(7, encodeForwardReply(gateway.ReplyBatch{Ends: ends, Records: want.Records, Stopping: true, Done: true}))
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("decoded reply (-want +got):\n%s", diff)
	}
}
