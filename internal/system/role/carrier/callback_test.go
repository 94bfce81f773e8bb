package carrier

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"granitewing/internal/system/message"
	"granitewing/internal/system/wire"
)

// handedWithCallback gives a message whose end is owed to a receiver.
func handedWithCallback(id string, token uint64) wire.DeliverBody {
	body := handed(id, pacedUnit, token)
	body.Message.Callback = "http://10.8.0.1:80/done"
	return body
}

// Guards against a call-back that nobody makes: an owner that is handed a message that had ended under a former owner, and that took the unit over while
// no store listed the message.
func TestMessageThatHadEndedBeforeItWasHandedOver(t *testing.T) {
	r := newRig()
	r.receive = func(string) int { return http.StatusOK }
	r.store("disk-2").ends["m1"] = message.End{ID: "m1", Phase: message.Succeeded, Stamp: "s", CallbackOwed: true}
	r.core.Deliver(handedWithCallback("m1", ownToken-1))
	r.Pass(time.Second)
	if !slices.Equal(r.told, []string{"m1"}) || len(r.sent) > 0 {
		t.Errorf("told were %v, sent were %v", r.told, r.sent)
	}
}
