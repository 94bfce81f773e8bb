package message

import (
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// earlierMessage is a message as earlier builds wrote or read it. The first ones had the name of its route in the position
// of the version.
type earlierMessage[V string | uint64] struct {
	_msgpack  struct{} `msgpack:",as_array"`
	ID, Unit  string
	Version   V
	Host      string
	Method    string
	Target    string
	Headers   []Header
	Key       string
	Callback  string
	Body      []byte
	Token     uint64
	Sequence  uint64
	Accepted  int64
	Delay     time.Duration
	Retention time.Duration
}

func TestDecodesMessagesOfEarlierBuilds(t *testing.T) {
	encoded, err := msgpack.Marshal(&earlierMessage[string]{ID: "m", Unit: "key/s/3", Version: "r", Host: "h", Body: []byte("body"), Token: 4, Retention: time.Minute})
	if err != nil {
		t.Fatal(err)
	}
	var decoded Message
	if err := msgpack.Unmarshal(encoded, &decoded); err != nil {
		t.Fatal(err)
	}
	if decoded.ID != "m" || decoded.Unit != "key/s/3" || decoded.Version != 0 || decoded.Host != "h" || string(decoded.Body) != "body" || decoded.Token != 4 || decoded.Retention != time.Minute {
		t.Errorf("decoded as %+v", decoded)
	}
	decoded.Version = 1 << 40
	encoded, err = msgpack.Marshal(&decoded)
	if err != nil {
		t.Fatal(err)
	}
	var again Message
	if err := msgpack.Unmarshal(encoded, &again); err != nil || again.Version != 1<<40 {
		t.Errorf("version %d, %v", again.Version, err)
	}
}

// Guards against a stored or forwarded message that means something else to an earlier build: the key of a message that is not
// in order is a header there, which workers receive, and does not order the message.
func TestEarlierBuildsReadMessagesThatAreNotInOrder(t *testing.T) {
	header := Header{Name: "X-Ordering-Key", Value: "k"}
	encoded, err := msgpack.Marshal(&Message{ID: "m", Unit: "paced/s", Headers: []Header{header}, Body: []byte("body"), Retention: time.Minute})
	if err != nil {
		t.Fatal(err)
	}
	var earlier earlierMessage[uint64]
	if err := msgpack.Unmarshal(encoded, &earlier); err != nil {
		t.Fatal(err)
	}
	if len(earlier.Headers) != 1 || earlier.Headers[0] != header || earlier.Key != "" || earlier.Retention != time.Minute {
		t.Errorf("an earlier build reads %+v", earlier)
	}
}
