package store

import (
	"reflect"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitewing/internal/system/message"
	"granitewing/internal/system/segment"
)

var _ = ginkgo.Describe("Replaying the log", func() {
	ginkgo.It("has field counts that match record and Message", func() {
		const marker = 1 // the first field, which makes msgpack write an array
		Expect(reflect.TypeFor[record]().NumField() - marker).To(Equal(recordFields))
		whole := reflect.TypeFor[message.Message]()
		Expect(whole.NumField() - marker).To(Equal(messageFields))
		Expect(whole.Field(1).Name).To(Equal("ID"))
		Expect(whole.Field(2).Name).To(Equal("Unit"))
		Expect(whole.Field(2 + fieldsBeforeCallback + marker).Name).To(Equal("Callback"))
		Expect(whole.Field(messageFields - 1).Name).To(Equal("Delay"))
		Expect(whole.Field(messageFields).Name).To(Equal("Retention"))
		const delayAndRetention = 2
		Expect(3 + fieldsBeforeCallback + fieldsAfterCallback + delayAndRetention).To(Equal(messageFields))
	})

	ginkgo.It("reads what the index keeps of each kind of record", func() {
		m := newMessage("m1")
		m.Headers = []message.Header{{Name: "Content-Type", Value: "text/plain"}}
		withCallback := newMessage("m4")
		withCallback.Callback, withCallback.Delay = "http://10.8.0.1:80/done", time.Second
		end := message.Outcome{ID: "m2", Phase: message.Succeeded, Stamp: "s", CallbackOwed: true}
		l := newLoader()
		for _, c := range []struct {
			written record
			read    loadedRecord
		}{
			{record{Kind: recordMessage, Message: m, At: 7}, loadedRecord{Kind: recordMessage, ID: "m1", Unit: "u", Retention: 90 * time.Second, At: 7}},
			{record{Kind: recordMessage, Message: withCallback, At: 7}, loadedRecord{Kind: recordMessage, ID: "m4", Unit: "u", Callback: true, Delay: time.Second, Retention: 90 * time.Second, At: 7}},
			{record{Kind: recordEnd, ID: "m2", Unit: "u", End: &end, At: 8}, loadedRecord{Kind: recordEnd, ID: "m2", Unit: "u", End: end, At: 8}},
			{record{Kind: recordVoid, ID: "m3"}, loadedRecord{Kind: recordVoid, ID: "m3"}},
			{record{Kind: recordStarted, Incomplete: true, Founder: true, Disk: "d"}, loadedRecord{Kind: recordStarted, Incomplete: true, Founder: true, Disk: "d"}},
		} {
			read, err := l.read(segment.Position{}, c.written.encode())
			Expect(err).NotTo(HaveOccurred())
			Expect(read).To(Equal(c.read))
		}
	})

	ginkgo.It("returns a RecordError for a record truncated at any length", func() {
		complete := record{Kind: recordMessage, Message: newMessage("m1")}
		payload := complete.encode()
		for length := range len(payload) {
			_, err := newLoader().read(segment.Position{Segment: 3}, payload[:length])
			Expect(err).To(BeAssignableToTypeOf(&RecordError{}), "%d bytes", length)
		}
	})
})
