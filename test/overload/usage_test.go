package overload

import (
	"bufio"
	"encoding/hex"
	"fmt"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"
)

// samplePeriod is the time between two samples of a process.
const samplePeriod = 10 * time.Millisecond

// usage is what a process uses of its machine. Memory includes the bytes that its sockets have received
// and that it has not read yet.
type usage struct {
	memoryBytes int64
	descriptors int
}

// usageMonitor records the peak usage of a process.
type usageMonitor struct {
	stop chan struct{}
	peak chan usage
}

// monitorUsage samples a process, whose listeners have the given addresses, until finish is called.
func monitorUsage(pid int, addresses ...string) *usageMonitor {
	m := &usageMonitor{stop: make(chan struct{}), peak: make(chan usage, 1)}
	go func() {
		var peak usage
		for {
			select {
			case <-m.stop:
				peak.memoryBytes = max(peak.memoryBytes, residentBytes(pid, "VmHWM:"))
				m.peak <- peak
				return
			case <-time.After(samplePeriod):
				peak.memoryBytes = max(peak.memoryBytes, residentBytes(pid, "VmRSS:")+unreadBytes(addresses))
				peak.descriptors = max(peak.descriptors, openDescriptors(pid))
			}
		}
	}()
	return m
}

// finish ends the monitoring and returns the peak.
func (m *usageMonitor) finish() usage {
	close(m.stop)
	return <-m.peak
}

// check fails the test if the peak exceeds the limits of the machine.
func (u usage) check(t *testing.T) {
	t.Helper()
	t.Logf("peak: %d of %d MB, %d of %d descriptors", u.memoryBytes/1e6, machineMemoryMB, u.descriptors, machineDescriptors)
	if u.memoryBytes > machineMemoryMB*1e6 {
		t.Errorf("%d bytes of memory, the machine has %d MB", u.memoryBytes, machineMemoryMB)
	}
	if u.descriptors > machineDescriptors {
		t.Errorf("%d open descriptors, the machine allows %d", u.descriptors, machineDescriptors)
	}
}

// residentBytes returns a field of a process's status in bytes, or 0 if the process has ended.
func residentBytes(pid int, field string) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == field {
			kilobytes, _ := strconv.ParseInt(fields[1], 10, 64)
			return kilobytes << 10
		}
	}
	return 0
}

func openDescriptors(pid int) int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return 0
	}
	return len(entries)
}

// The columns and states of the kernel's list of TCP sockets.
const (
	columnLocal  = 1
	columnState  = 3
	columnQueues = 4
	established  = "01"
	closeWait    = "08"
)

// unreadBytes returns the received bytes that wait in the sockets of the given local addresses.
func unreadBytes(addresses []string) int64 {
	var local []string
	for _, a := range addresses {
		local = append(local, kernelAddress(a))
	}
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0
	}
	defer file.Close()
	var sum int64
	for lines := bufio.NewScanner(file); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) <= columnQueues || fields[columnState] != established && fields[columnState] != closeWait || !slices.Contains(local, fields[columnLocal]) {
			continue
		}
		_, receive, _ := strings.Cut(fields[columnQueues], ":")
		unread, _ := strconv.ParseInt(receive, 16, 64)
		sum += unread
	}
	return sum
}

// kernelAddress returns an IPv4 address and a port as the kernel prints them on a little-endian machine.
func kernelAddress(address string) string {
	host, port, _ := net.SplitHostPort(address)
	ip := slices.Clone(net.ParseIP(host).To4())
	slices.Reverse(ip)
	number, _ := strconv.Atoi(port)
	return fmt.Sprintf("%s:%04X", strings.ToUpper(hex.EncodeToString(ip)), number)
}
