package message

import (
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// earlierMessage is a message as earlier builds wrote it: with its route's name where the version is.
type earlierMessage struct {
	_msgpack  struct{} `msgpack:",as_array"`
	ID, Unit  string
	Route     string
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

func TestMessagesOfEarlierBuilds(t *testing.T) {
	encoded, err := msgpack.Marshal(&earlierMessage{ID: "m", Unit: "key/s/3", Route: "r", Host: "h", Body: []byte("body"), Token: 4, Retention: time.Minute})
	if err != nil {
		t.Fatal(err)
	}
	var read Message
	if err := msgpack.Unmarshal(encoded, &read); err != nil {
		t.Fatal(err)
	}
	if read.ID != "m" || read.Unit != "key/s/3" || read.Version != 0 || read.Host != "h" || string(read.Body) != "body" || read.Token != 4 || read.Retention != time.Minute {
		t.Errorf("read as %+v", read)
	}
	read.Version = 1 << 40
	encoded, err = msgpack.Marshal(&read)
	if err != nil {
		t.Fatal(err)
	}
	var again Message
	if err := msgpack.Unmarshal(encoded, &again); err != nil || again.Version != 1<<40 {
		t.Errorf("version %d, %v", again.Version, err)
	}
}
