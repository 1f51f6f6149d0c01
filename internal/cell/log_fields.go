package cell

import "github.com/sirupsen/logrus"

func workerFields(w *worker) logrus.Fields {
	return logrus.Fields{"worker": w.ID, "address": w.Address, "zone": w.Zone, "rack": w.Rack, "born": w.incarnation}
}

func attemptFields(a *attempt) logrus.Fields {
	return logrus.Fields{"task": a.task.id().String(), "run": a.run, "worker": a.worker.ID, "percent": a.percent}
}
