package peer

import (
	"gentianstand/internal/fleet"
	"gentianstand/internal/live"
	"gentianstand/internal/peer/peerpb"
	"gentianstand/internal/resource"
	"gentianstand/internal/worker"
)

func processToMessage(p live.Process) *peerpb.Process {
	return &peerpb.Process{Instance: p.Instance, Incarnation: p.Incarnation}
}

func processFromMessage(m *peerpb.Process) live.Process {
	return live.Process{Instance: m.GetInstance(), Incarnation: m.GetIncarnation()}
}

func amountToMessage(a resource.Amount) *peerpb.Amount {
	return &peerpb.Amount{MilliCpu: a.MilliCPU, MemoryMib: a.MemoryMiB, Accelerators: a.Accelerators}
}

func amountFromMessage(m *peerpb.Amount) resource.Amount {
	return resource.Amount{MilliCPU: m.GetMilliCpu(), MemoryMiB: m.GetMemoryMib(), Accelerators: m.GetAccelerators()}
}

func refToMessage(r worker.TaskRef) *peerpb.TaskRef {
	return &peerpb.TaskRef{Run: r.Run, Index: int32(r.Index), Attempt: int32(r.Attempt)}
}

func refFromMessage(m *peerpb.TaskRef) worker.TaskRef {
	return worker.TaskRef{Run: m.GetRun(), Index: int(m.GetIndex()), Attempt: int(m.GetAttempt())}
}

func statusToMessage(s worker.TaskStatus) *peerpb.TaskStatus {
	return &peerpb.TaskStatus{
		Ref: refToMessage(s.Ref), State: string(s.State), Need: amountToMessage(s.Need), Used: amountToMessage(s.Used),
		Result: s.Result, Reason: s.Reason, Workload: s.Workload, Service: s.Service,
	}
}

func statusFromMessage(m *peerpb.TaskStatus) worker.TaskStatus {
	return worker.TaskStatus{
		Ref: refFromMessage(m.GetRef()), State: worker.TaskState(m.GetState()), Need: amountFromMessage(m.GetNeed()),
		Used: amountFromMessage(m.GetUsed()), Result: m.GetResult(), Reason: m.GetReason(),
		Workload: m.GetWorkload(), Service: m.GetService(),
	}
}

func reportToMessage(r fleet.Report) *peerpb.WorkerReport {
	m := &peerpb.WorkerReport{
		Worker: r.Worker, Shard: r.Shard, Epoch: r.Epoch, Sequence: r.Sequence, Region: r.Region, Zone: r.Zone, Rack: r.Rack,
		Capacity: amountToMessage(r.Capacity), State: string(r.State), Draining: r.Draining, Boot: r.Boot,
	}
	for _, s := range r.Tasks {
		m.Tasks = append(m.Tasks, statusToMessage(s))
	}
	return m
}

func reportFromMessage(m *peerpb.WorkerReport) fleet.Report {
	r := fleet.Report{
		Worker: m.GetWorker(), Shard: m.GetShard(), Epoch: m.GetEpoch(), Sequence: m.GetSequence(), Region: m.GetRegion(), Zone: m.GetZone(), Rack: m.GetRack(),
		Capacity: amountFromMessage(m.GetCapacity()), State: fleet.WorkerState(m.GetState()), Draining: m.GetDraining(), Boot: m.GetBoot(),
	}
	for _, s := range m.GetTasks() {
		r.Tasks = append(r.Tasks, statusFromMessage(s))
	}
	return r
}

func assignmentToMessage(a fleet.Assignment) *peerpb.WorkerAssignment {
	m := &peerpb.WorkerAssignment{Worker: a.Worker, Epoch: a.Epoch, Boot: a.Boot}
	for _, s := range a.Start {
		m.Start = append(m.Start, &peerpb.TaskStart{
			Ref: refToMessage(s.Ref), Workload: s.Workload, Need: amountToMessage(s.Need),
			Service: s.Service, Command: s.Command, LimitMillis: s.LimitMillis,
		})
	}
	for _, s := range a.Stop {
		m.Stop = append(m.Stop, &peerpb.TaskStop{Ref: refToMessage(s.Ref), Action: string(s.Action)})
	}
	for _, ref := range a.Ack {
		m.Ack = append(m.Ack, refToMessage(ref))
	}
	return m
}

func assignmentFromMessage(m *peerpb.WorkerAssignment) fleet.Assignment {
	a := fleet.Assignment{Worker: m.GetWorker(), Epoch: m.GetEpoch(), Boot: m.GetBoot()}
	for _, s := range m.GetStart() {
		a.Start = append(a.Start, worker.TaskStart{
			Ref: refFromMessage(s.GetRef()), Workload: s.GetWorkload(), Need: amountFromMessage(s.GetNeed()),
			Service: s.GetService(), Command: s.GetCommand(), LimitMillis: s.GetLimitMillis(),
		})
	}
	for _, s := range m.GetStop() {
		a.Stop = append(a.Stop, worker.TaskStop{Ref: refFromMessage(s.GetRef()), Action: worker.StopAction(s.GetAction())})
	}
	for _, ref := range m.GetAck() {
		a.Ack = append(a.Ack, refFromMessage(ref))
	}
	return a
}
