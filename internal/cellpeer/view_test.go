package cellpeer

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"gentianstand/internal/admission"
	"gentianstand/internal/cellpeer/cellpb"
	"gentianstand/internal/jobmemory"
	"gentianstand/internal/resource"
)

// Guards against a field of the view that is lost between owner and instance.
func TestViewIsSentWhole(t *testing.T) {
	want := admission.View{Term: 7, Arrivals: 1234, Age: 200 * time.Millisecond,
		Backlogs: []admission.Backlog{{Service: "desk", Priority: 2, Wait: 3 * time.Second, ShareWait: time.Second, OverWait: 5 * time.Second}},
		Loads:    []admission.Load{{Service: "desk", Capacity: resource.Amount{MilliCPU: 1, MemoryMiB: 2, Accelerators: 3}}},
		Shares:   []admission.Share{{Workspace: "hot", Jobs: 0.25, Work: -1500 * time.Millisecond}},
		Jobs:     jobmemory.Usage{Bytes: 5, Limit: 6}}
	if got := ViewFrom(viewMessage(&want), nil); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// Guards against an instance that ignores the backlogs of an owner of an earlier version.
func TestBacklogsOfAnEarlierOwnerAreRead(t *testing.T) {
	got := ViewFrom(nil, []*cellpb.Backlog{{Service: "desk", Priority: 2, WaitMillis: 3000}})
	if len(got.Backlogs) != 1 || got.Backlogs[0].Wait != 3*time.Second {
		t.Errorf("got %+v", got)
	}
}

// Guards against views that fill the link of a small owner: 100 answers a second of 1.5 KB are 1.2
// of its 10 Mbit/s. The shares are the most that an owner sends.
func TestViewIsSmall(t *testing.T) {
	v := admission.View{Term: 100, Arrivals: 1 << 30, Age: time.Second, Loads: []admission.Load{{Service: "desk", Capacity: resource.Amount{MilliCPU: 1 << 25, MemoryMiB: 1 << 26}}}}
	for priority := range 3 {
		v.Backlogs = append(v.Backlogs, admission.Backlog{Service: "desk", Priority: priority, Wait: time.Minute, ShareWait: time.Minute, OverWait: time.Minute})
	}
	for n := range 24 {
		v.Shares = append(v.Shares, admission.Share{Workspace: fmt.Sprintf("workspace-number-%02d", n), Jobs: 0.5, Work: -time.Second})
	}
	if got := proto.Size(&cellpb.SubmittedReply{View: viewMessage(&v), Backlogs: viewMessage(&v).Backlogs}); got > 1500 {
		t.Errorf("the answer has %d bytes", got)
	}
}
