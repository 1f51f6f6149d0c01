package overload

import (
	"strings"
	"testing"
)

// largeFormCrowd is the number of clients that send bodies with a large decoded form.
const largeFormCrowd = 20

// Guards against a body whose decoded form is many times as large: the process exceeded its memory with
// a few requests of legal size.
func TestBodiesWhoseDecodedFormIsLarge(t *testing.T) {
	bodies := map[string]string{
		"steps":         `{"spec":"10ms","steps":[` + strings.Repeat(`{},`, maxBodyBytes/3-20) + `{}]}`,
		"dependencies":  `{"spec":"10ms","steps":[{"count":1,"after":[` + strings.Repeat(`0,`, maxBodyBytes/2-40) + `0]}]}`,
		"nested arrays": `{"spec":"10ms","x":` + strings.Repeat(`[`, maxBodyBytes/2-20) + strings.Repeat(`]`, maxBodyBytes/2-20) + `}`,
		"open arrays":   `{"spec":"10ms","x":` + strings.Repeat(`[`, maxBodyBytes-20),
		"open objects":  `{"spec":"10ms","x":` + strings.Repeat(`{"":`, maxBodyBytes/4-20),
	}
	for name, body := range bodies {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			c := newCrowd(w.callersAddress(), largeFormCrowd, shapes[0], func(n int) request { return submission(n, len(body), []string{body}) })
			c.waitSent()
			w.serveOrdinary(ordinaryID)
			answers := c.leave()
			w.finish()
			t.Logf("answers by status: %s", statuses(answers))
			w.checkAnswers(answers)
		})
	}
}
