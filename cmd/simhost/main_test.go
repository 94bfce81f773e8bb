package main

import (
	"bytes"
	"encoding/binary"
	"strings"
	"testing"
)

const settingsText = "Balancers=1\nClasses.count=1\nClasses.0.Aim=300000\nClasses.0.Deadline=2000000\n" +
	"Classes.0.Semantics=read_like\nClasses.0.Gain=1\nLimits.MaxAttempts=3\nResolution=1000\n"

func record(code byte, fields ...any) []byte {
	var f bytes.Buffer
	for _, v := range fields {
		if err := binary.Write(&f, binary.BigEndian, v); err != nil {
			panic(err)
		}
	}
	out := binary.BigEndian.AppendUint32([]byte{code}, uint32(f.Len()))
	return append(out, f.Bytes()...)
}

func frame(now uint64, seq uint32, records ...[]byte) []byte {
	body := bytes.Join(records, nil)
	out := binary.BigEndian.AppendUint64(nil, now)
	out = binary.BigEndian.AppendUint32(out, uint32(20+len(body)))
	out = binary.BigEndian.AppendUint32(out, uint32(len(records)))
	out = binary.BigEndian.AppendUint32(out, seq)
	return append(out, body...)
}

func start(inst uint16, text string) []byte {
	return record(1, inst, uint64(9), uint32(len(text)), []byte(text))
}

func ledger(set uint16, worker uint32) []byte {
	return record(11, set, uint32(1), uint8(0), uint64(0), float32(1), uint16(0), uint8(1), uint16(0), worker)
}

func update(inst, set uint16) []byte { return record(2, inst, uint8(2), uint32(1), set) }

func arrival(inst uint16, job uint32) []byte {
	return record(3, inst, job, uint64(0), uint16(1), uint8(0), uint16(0), uint32(9000), float32(0),
		uint64(3_000_000), float32(1))
}

// sentTo lists the workers of all send actions in a run of replies.
func sentTo(t *testing.T, replies []byte) (to []uint32) {
	t.Helper()
	for len(replies) > 0 {
		n := binary.BigEndian.Uint32(replies)
		for r := replies[8:n]; len(r) > 0; {
			size := 5 + binary.BigEndian.Uint32(r[1:])
			if r[0] == 5 {
				to = append(to, binary.BigEndian.Uint32(r[11:]))
			}
			r = r[size:]
		}
		replies = replies[n:]
	}
	return to
}

// A list number may be used again within a batch, and an instance may be stopped and started in one batch.
func TestReusedListNumberAndRestartInOneBatch(t *testing.T) {
	in := frame(1_000_000, 1, start(3, settingsText), start(4, settingsText),
		ledger(0, 77), update(3, 0), ledger(0, 88), update(4, 0), arrival(3, 1), arrival(4, 2))
	in = append(in, frame(1_001_000, 2, record(10, uint16(3)), start(3, settingsText), ledger(5, 99), update(3, 5),
		arrival(3, 3))...)
	var out bytes.Buffer
	if err := serve(bytes.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	got := sentTo(t, out.Bytes())
	if len(got) != 3 || got[0] != 77 || got[1] != 88 || got[2] != 99 {
		t.Errorf("sent to %v, want 77, 88, 99", got)
	}
}

func TestInvalidBatchGetsNoReply(t *testing.T) {
	in := frame(1_000_000, 1, start(3, settingsText))
	in = append(in, frame(1_001_000, 2, ledger(0, 77), update(3, 0), record(7, uint16(3)))...)
	var out bytes.Buffer
	err := serve(bytes.NewReader(in), &out)
	if err == nil || !strings.Contains(err.Error(), "batch 2") {
		t.Errorf("error %v, want one that mentions batch 2", err)
	}
	if n := binary.BigEndian.Uint32(out.Bytes()); out.Len() != int(n) {
		t.Errorf("%d bytes written, want only the reply of %d bytes to the first batch", out.Len(), n)
	}
}

func TestInvalidSettingsAreReportedOnTheWire(t *testing.T) {
	var out bytes.Buffer
	if err := serve(bytes.NewReader(frame(1, 1, start(3, "Balancers=1"))), &out); err != nil {
		t.Fatal(err)
	}
	if b := out.Bytes(); len(b) < 9 || b[8] != 2 || !bytes.Contains(b, []byte("Classes.count")) {
		t.Errorf("reply %q, want a fault that mentions Classes.count", b)
	}
}

func TestEmptyInputIsNoError(t *testing.T) {
	if err := serve(bytes.NewReader(nil), &bytes.Buffer{}); err != nil {
		t.Error(err)
	}
}
