package node

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitewing/internal/system/catalog"
)

var _ = ginkgo.Describe("The reader of the platform's list of workers", func() {
	const instance = `{"backend":"b","address":"10.0.0.%d:8080","zone":"z","resource-version":"v1","capacity":4,"phase":"ready","cold-remaining-ms":0,"id":"i-%d"}`
	tokens := []string{"", "p-50", "cDo1MA==", "a&b=c", "50%", "x y+z/?#"}

	var server *httptest.Server
	var answer func(page int) (status int, body string)

	ginkgo.BeforeEach(func() {
		answer = func(page int) (int, string) {
			next := "null"
			if page+1 < len(tokens) {
				next = fmt.Sprintf("%q", tokens[page+1])
			}
			return http.StatusOK, fmt.Sprintf(`{"instances":[`+instance+`],"next-page-token":%s}`, page, page, next)
		}
		server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			for page, token := range tokens {
				if r.URL.Query().Get("page-token") != token {
					continue
				}
				status, body := answer(page)
				w.WriteHeader(status)
				fmt.Fprint(w, body)
				return
			}
			w.WriteHeader(http.StatusBadRequest)
		}))
		ginkgo.DeferCleanup(server.Close)
	})

	read := func() (map[string]catalog.Instance, error) {
		return newCatalogReader(strings.TrimPrefix(server.URL, "http://")).readAll()
	}

	ginkgo.It("follows page tokens with any characters", func() {
		instances, err := read()
		Expect(err).NotTo(HaveOccurred())
		Expect(instances).To(HaveLen(len(tokens)))
	})

	ginkgo.It("returns an error, not a partial list, when a page fails", func() {
		complete := answer
		answer = func(page int) (int, string) {
			if page == 2 {
				return http.StatusTooManyRequests, "{}"
			}
			return complete(page)
		}
		_, err := read()
		var status *StatusError
		Expect(errors.As(err, &status)).To(BeTrue())
		Expect(status.Status).To(Equal(http.StatusTooManyRequests))
	})

	ginkgo.It("reports an invalid list", func() {
		answer = func(int) (int, string) { return http.StatusOK, `{"instances":[{"id":""}]}` }
		_, err := read()
		var unreadable *catalog.MalformedPageError
		Expect(errors.As(err, &unreadable)).To(BeTrue())
	})
})
