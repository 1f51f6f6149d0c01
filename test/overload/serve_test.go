package overload

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"gentianstand/internal/platform"
	standplatform "gentianstand/internal/standin/platform"
)

const serviceText = `version: 1
teams:
  - name: wards
    quota: {cpu: 8, memory: 8GiB}
services:
  - name: casedesk
    team: wards
    replicas: 1
    resources: {cpu: 1, memory: 512MiB}
`

// site is one instance of the command serve, with the stand-ins of a platform and of a worker.
type site struct {
	*process
	t        *testing.T
	address  string
	platform string
	usage    *usageMonitor
}

// newSite starts the processes and waits until the service is served.
func newSite(t *testing.T) *site {
	t.Helper()
	ip := address()
	s := &site{t: t, address: ip + ":8080", platform: ip + ":9000"}
	worker := ip + ":9001"
	startProcess(t, exec.Command(standinBinary, "-kind", "platform", "-listen", s.platform))
	startProcess(t, exec.Command(standinBinary, "-kind", "worker", "-id", "worker-0", "-listen", worker))
	cmd := exec.Command(binary, "serve", "-id", "entry-0", "-listen", s.address, "-peer-listen", ip+":8081", "-region", "r", "-zone", "z", "-platform", "http://"+s.platform)
	cmd.Env = append(os.Environ(), fmt.Sprintf("GENTIANSTAND_MEMORY_MIB=%d", machineMemoryMB*1000*1000>>20), fmt.Sprintf("GENTIANSTAND_MAX_DESCRIPTORS=%d", machineDescriptors))
	s.process = startProcess(t, cmd)
	s.usage = monitorUsage(s.pid(), s.address, ip+":8081")
	s.register(platform.Instance{ID: "worker-0", Role: platform.RoleWorker, Address: worker, Region: "r", Zone: "z", Rack: "rack-0"})
	s.register(platform.Instance{ID: "entry-0", Role: platform.RoleEntry, Address: ip + ":8081", Region: "r", Zone: "z"})
	waitFor(t, "the configuration is accepted", func() bool { return s.call(http.MethodPost, "/v1/config", serviceText) == http.StatusOK })
	s.serveOrdinary()
	return s
}

// register adds an instance or a worker to the list of the platform.
func (s *site) register(inst platform.Instance) {
	s.t.Helper()
	data, err := json.Marshal(inst)
	if err != nil {
		s.t.Fatal(err)
	}
	waitFor(s.t, "the platform takes "+inst.ID, func() bool {
		resp, err := http.Post("http://"+s.platform+standplatform.PathInstance, "application/json", bytes.NewReader(data))
		if err != nil {
			return false
		}
		return resp.Body.Close() == nil
	})
}

// call sends a request over a connection of its own and returns the status, or 0 without an answer.
func (s *site) call(method, path, body string) int {
	req, err := http.NewRequest(method, "http://"+s.address+path, strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	req.Close = true
	client := http.Client{Timeout: waitTimeout / 4}
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body) // only the status is of interest
	if resp.StatusCode != http.StatusOK {
		time.Sleep(time.Second)
	}
	return resp.StatusCode
}

// serveOrdinary sends a small request until it is served.
func (s *site) serveOrdinary() {
	s.t.Helper()
	waitFor(s.t, "an ordinary request is served", func() bool { return s.call(http.MethodPost, "/s/casedesk/cases", "{}") == http.StatusOK })
}

// finish checks that the process lives, and its peak usage.
func (s *site) finish() {
	s.t.Helper()
	s.checkAlive()
	s.usage.finish().check(s.t)
}

// Guards against an instance of serve that holds the bodies and the connections of all clients without a
// common limit, and whose slots at workers are held by bodies that never end.
func TestManyBodiesToServices(t *testing.T) {
	const smallBody = 60 << 10 // such bodies are buffered, larger ones are streamed
	for _, size := range []int{smallBody, maxBodyBytes} {
		body := strings.Repeat("x", size)
		for _, sh := range shapes {
			t.Run(fmt.Sprintf("%s of %d KiB", sh.name, size>>10), func(t *testing.T) {
				s := newSite(t)
				whole, short := sh.encode(body, false), sh.encode(body, true)
				c := newCrowd(s.address, crowdSize, sh, func(n int) request {
					r := request{method: http.MethodPost, path: "/s/casedesk/cases", length: len(body), pieces: short}
					if n%10 == 0 {
						r.pieces = whole
					}
					return r
				})
				c.waitSent()
				s.serveOrdinary()
				t.Logf("answers by status: %s", statuses(c.leave()))
				s.serveOrdinary()
				s.finish()
			})
		}
	}
}

// Guards against operators' texts that never end.
func TestManyTextsThatStopShortOfTheirEnd(t *testing.T) {
	text := serviceText + strings.Repeat("# a comment\n", 80<<10)
	for _, path := range []string{"/v1/config", "/v1/plan", "/v1/status", "/healthz", "/unknown"} {
		t.Run(path, func(t *testing.T) {
			s := newSite(t)
			c := newCrowd(s.address, crowdSize, shapes[0], func(int) request {
				return request{method: http.MethodPost, path: path, length: len(text), pieces: shapes[0].encode(text, true)}
			})
			c.waitSent()
			s.serveOrdinary()
			t.Logf("answers by status: %s", statuses(c.leave()))
			s.finish()
		})
	}
}
