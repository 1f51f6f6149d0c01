package overload

import (
	"syscall"
	"testing"
	"time"
)

const (
	// pausedCrowdSize is the number of clients that connect while the process is paused.
	pausedCrowdSize = 2000
	// pauseTime is how long the process is paused.
	pauseTime = 2 * time.Second
)

// Guards against connections that the kernel accepts, with their bytes, while the process is busy or its
// machine is suspended: these bytes count as the memory of the process.
func TestManyBodiesWhileTheProcessIsPaused(t *testing.T) {
	body := paddedJob(maxBodyBytes)
	w := newWorld(t)
	if err := w.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	short := shapes[0].encode(body, true)
	c := newCrowd(w.callersAddress(), pausedCrowdSize, shapes[0], func(n int) request { return submission(n, len(body), short) })
	time.Sleep(pauseTime)
	if err := w.cmd.Process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	c.waitSent()
	w.serveOrdinary(ordinaryID)
	t.Logf("answers by status: %s", statuses(c.leave()))
	w.finish()
}
