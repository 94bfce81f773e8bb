package wire

import (
	"bytes"
	"encoding/hex"
	"errors"
	"io"
	"strings"
	"testing"

	"granitewing/logic"
)

func unhex(t *testing.T, s string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.Join(strings.Fields(s), ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// A frame built by hand from the documented layout: an arrival, a wake-up, a record of unknown code, and a
// hang-up.
const sampleFrame = `
	0000000000805c5a 0000005d 00000004 0000000c
	03 00000027 0003 00000011 0000000000000007 0001 02 0001 00002ee0 00000000 00000000008405da 40000000
	07 00000006 0003 0000004d
	63 00000002 abcd
	06 00000006 0005 0e6f2b19`

func TestDecodeSample(t *testing.T) {
	frame, err := ReadFrame(bytes.NewReader(unhex(t, sampleFrame)), nil)
	if err != nil {
		t.Fatal(err)
	}
	var b Batch
	if err := b.Open(frame); err != nil {
		t.Fatal(err)
	}
	if b.Now != 0x805c5a || b.Seq != 12 {
		t.Fatalf("header: now %d seq %d", b.Now, b.Seq)
	}
	var e Event
	var codes []uint8
	for {
		more, err := b.Next(&e)
		if err != nil {
			t.Fatal(err)
		}
		if !more {
			break
		}
		codes = append(codes, e.Code)
		switch e.Code {
		case EvArrival:
			if e.Inst != 3 || e.Job != 0x11 || e.Key != 7 || e.Flags != 1 || e.Class != 2 || e.Tenant != 1 ||
				e.Hint != 12000 || e.Memory != 0 || e.At != 0x8405da || e.Slots != 2 {
				t.Errorf("arrival: %+v", e)
			}
		case EvWake:
			if e.Inst != 3 || e.Token != 77 {
				t.Errorf("wake: %+v", e)
			}
		case EvHangup:
			if e.Inst != 5 || e.Job != 0x0e6f2b19 {
				t.Errorf("hang-up: %+v", e)
			}
		}
	}
	if !bytes.Equal(codes, []byte{EvArrival, EvWake, EvHangup}) {
		t.Errorf("codes %v: want the unknown one skipped and the others in order", codes)
	}
}

// A frame or record whose lengths do not fit is an error that names the fault.
func TestMalformed(t *testing.T) {
	cases := []struct{ name, frame, wantErr string }{
		{"length under header", `0000000000000001 00000005 00000000 00000007`, "batch 7"},
		{"frame cut short", `0000000000000001 00000040 00000001 00000007 0700`, "cut short"},
		{"header cut short", `00000000000000`, "header"},
		{"records missing", `0000000000000001 00000014 00000001 00000007`, "missing"},
		{"bytes left over", `0000000000000001 00000015 00000000 00000007 00`, "left after"},
		{"record past frame", `0000000000000001 00000019 00000001 00000007 07 000000ff`, "states 255"},
		{"short record", `0000000000000001 0000001b 00000001 00000007 07 00000002 0003`, "shorter"},
		{"huge ledger", `0000000000000001 0000001f 00000001 00000007 0b 00000006 0000 ffffffff`, "shorter"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			frame, err := ReadFrame(bytes.NewReader(unhex(t, c.frame)), nil)
			if err == nil {
				var b Batch
				var e Event
				if err = b.Open(frame); err == nil {
					err = b.Check(&e)
				}
			}
			if err == nil || !strings.Contains(err.Error(), c.wantErr) {
				t.Errorf("error %v, want one with %q", err, c.wantErr)
			}
		})
	}
}

func TestClaimedLengthIsNotAllocated(t *testing.T) {
	frame, err := ReadFrame(bytes.NewReader(unhex(t, `0000000000000001 ffffffff 00000001 00000007 00`)), nil)
	if err == nil || cap(frame) > 4*readChunk {
		t.Errorf("error %v, %d bytes allocated for a truncated frame", err, cap(frame))
	}
}

func TestEOFBetweenFrames(t *testing.T) {
	if _, err := ReadFrame(bytes.NewReader(nil), nil); !errors.Is(err, io.EOF) {
		t.Errorf("error %v, want EOF", err)
	}
}

// Replies have the bytes that the simulator expects.
func TestReplyLayout(t *testing.T) {
	var r Reply
	r.Begin(12)
	r.Add(3, &logic.Action{Kind: logic.ActSend, Job: 0x5d3a91c4, Worker: 0x03124a07, Timeout: 80000})
	r.Add(3, &logic.Action{Kind: logic.ActWake, Token: 0x4d, At: 0x87fd7a})
	r.Fault(5, "no")
	want := unhex(t, `00000055 0000000c
		05 0000000e 0003 5d3a91c4 03124a07 00013880
		0a 0000000e 0003 0000004d 000000000087fd7a
		02 00000006 0005 0002 6e6f`)
	want[3] = byte(len(want))
	if got := r.Bytes(); !bytes.Equal(got, want) {
		t.Errorf("reply\n%x, want\n%x", got, want)
	}
}

func TestReplyOfOtherActions(t *testing.T) {
	var r Reply
	r.Begin(1)
	r.Tell(3, -1, []byte("hi 7"))
	r.Record(3, "two weathers known")
	r.ListAll(3)
	r.Release(3, 0x03124a07)
	r.Inspect(3, 0x03124a07)
	r.Add(3, &logic.Action{Kind: logic.ActCancel, Job: 0x11, Attempt: 2})
	r.Add(3, &logic.Action{Kind: logic.ActRefuse, Job: 0x11, After: 1000})
	r.Add(3, &logic.Action{Kind: logic.ActFail, Job: 0x11})
	r.Add(3, &logic.Action{Kind: logic.ActSubscribe})
	want := unhex(t, `00000000 00000001
		01 0000000a 0003 ffff 0004 68692037
		06 00000016 0003 0012 74776f2077656174686572732 06b6e6f776e
		07 00000002 0003
		09 00000006 0003 03124a07
		0c 00000006 0003 03124a07
		04 00000008 0003 00000011 0002
		08 0000000a 0003 00000011 000003e8
		03 00000006 0003 00000011
		0b 00000003 0003 01`)
	want[3] = byte(len(want))
	if got := r.Bytes(); !bytes.Equal(got, want) {
		t.Errorf("reply\n%x, want\n%x", got, want)
	}
}

// Known settings are read, unknown ones are skipped, and unusable values get their default.
func TestSettings(t *testing.T) {
	c, err := ParseSettings([]byte("Balancers=3\nClasses.count=1\nClasses.0.Aim=300000\n" +
		"Classes.0.Semantics=idempotency_key\nClasses.0.Group=zone\nFamilyInfo.ClassKind=1\n" +
		"FamilyInfo.ClassStretch=1.5\nReport.Names=x0,new_value,svc_ms\nRules.Cold=NaN\nUnheard.Of=1\nnonsense\n"))
	if err != nil {
		t.Fatal(err)
	}
	k := c.Classes[0]
	if c.Schedulers != 3 || k.TargetLatency != 300000 || k.Repeat != logic.RepeatKeyed || k.Group != logic.GroupZone ||
		k.WorkerKind != 1 || k.TargetPerWork != 1.5 || c.SlowStart != 0 {
		t.Errorf("config %+v", c)
	}
	want := []logic.Field{logic.FieldFreeSlots, logic.FieldUnknown, logic.FieldService}
	for i := range want {
		if c.Reports[i] != want[i] {
			t.Errorf("report fields %v, want %v", c.Reports, want)
		}
	}
}

// Limits.RetryAfter concerns the simulator's clients only. On sockets, a refused client still receives retry
// advice, since it has no other way to know when to retry.
func TestAdviceToRefusedClientsIsKept(t *testing.T) {
	c, err := ParseSettings([]byte("Classes.count=1\nLimits.RetryAfter=false\nLimits.MaxRetryAfter=2000000\n"))
	if err != nil || c.MaxRetryAfter != 2_000_000 {
		t.Errorf("MaxRetryAfter %d, error %v; want 2000000", c.MaxRetryAfter, err)
	}
}

// A short wait indicates a retry only if the settings say so.
func TestRetriesUnmarked(t *testing.T) {
	for line, want := range map[string]bool{"": false, "Clients.MarksRetry=true": false, "Clients.MarksRetry=false": true, "Clients.MarksRetry=0": false} {
		c, err := ParseSettings([]byte("Classes.count=1\n" + line))
		if err != nil || c.RetriesUnmarked != want {
			t.Errorf("%q: RetriesUnmarked %t, error %v; want %t", line, c.RetriesUnmarked, err, want)
		}
	}
}

func TestSettingsWithoutClasses(t *testing.T) {
	for _, text := range []string{"", "Classes.count=0", "Classes.count=many", "Classes.count=999999999"} {
		if _, err := ParseSettings([]byte(text)); err == nil || !strings.Contains(err.Error(), "Classes.count") {
			t.Errorf("%q: error %v, want one that names Classes.count", text, err)
		}
	}
}

func FuzzBatch(f *testing.F) {
	f.Add([]byte{0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0, 20, 0, 0, 0, 0, 0, 0, 0, 7})
	raw, _ := hex.DecodeString(strings.Join(strings.Fields(sampleFrame), ""))
	f.Add(raw)
	f.Fuzz(func(t *testing.T, in []byte) {
		frame, err := ReadFrame(bytes.NewReader(in), nil)
		if err != nil {
			return
		}
		var b Batch
		var e Event
		if err := b.Open(frame); err != nil {
			t.Fatalf("Open of a complete frame: %v", err)
		}
		first := b.Check(&e)
		if second := b.Check(&e); (first == nil) != (second == nil) {
			t.Fatalf("two checks of a batch differ: %v, %v", first, second)
		}
		EachEntry(in, func(Entry) {})
		if _, err := ParseSettings(in); err == nil && !bytes.Contains(in, []byte("Classes.count")) {
			t.Fatal("settings without classes were accepted")
		}
	})
}
