package e2e

import (
	"bytes"
	"fmt"
	"os"
	"strings"
)

// usage holds the resources that a process has used since its start.
type usage struct {
	cpuSeconds float64
	rssMiB     float64
	// moved is the number of bytes read and written by system calls, almost all of them on
	// sockets.
	moved float64
}

// clockTicks is the number of clock ticks per second on Linux, the unit of CPU times in /proc.
const clockTicks = 100

// usage reads the process's usage from /proc, which is not affected by other processes.
func (p *process) usage() usage {
	var u usage
	pid := p.cmd.Process.Pid
	stat, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	var user, system, pages float64
	_, _ = fmt.Sscan(fields[11], &user)
	_, _ = fmt.Sscan(fields[12], &system)
	_, _ = fmt.Sscan(fields[21], &pages)
	u.cpuSeconds = (user + system) / clockTicks
	u.rssMiB = pages * float64(os.Getpagesize()) / (1 << 20)
	io, _ := os.ReadFile(fmt.Sprintf("/proc/%d/io", pid))
	for line := range strings.Lines(string(io)) {
		var n float64
		if c, _ := fmt.Sscanf(line, "rchar: %f", &n); c == 1 {
			u.moved += n
		}
		if c, _ := fmt.Sscanf(line, "wchar: %f", &n); c == 1 {
			u.moved += n
		}
	}
	return u
}
