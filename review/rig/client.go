//go:build review

package rig

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"
)

var client = &http.Client{Timeout: 4 * time.Second}

// Call makes a call of a client to an instance. It returns 0 for no answer, and the state in the
// answer.
func (w *World) Call(p *Process, method, id, body string) (status int, state string) {
	status, state, data := w.call(p, method, id, body)
	w.Record.Printf("client %s %s at %s -> %d %s", method, id, p.Name, status, strings.TrimSpace(data))
	return status, state
}

func (w *World) call(p *Process, method, id, body string) (status int, state, data string) {
	req, err := http.NewRequest(method, "http://"+p.Callers+"/plain/"+id, strings.NewReader(body))
	if err != nil {
		return 0, "", err.Error()
	}
	req.Host = Host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", "3000")
	resp, err := client.Do(req)
	if err != nil {
		return 0, "", err.Error()
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, "", err.Error()
	}
	var answer struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(raw, &answer)
	return resp.StatusCode, answer.State, string(raw)
}

// Submit hands a job in, up to five times with the same id as the protocol allows, at one instance
// after the other. It reports whether the job was accepted.
func (w *World) Submit(id, body string) bool {
	for n := range 5 {
		if status, _ := w.Call(w.Processes[n%len(w.Processes)], http.MethodPost, id, body); status == http.StatusOK {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}
