package command

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/fx"

	"gentianstand/internal/cell"
	"gentianstand/internal/node"
	"gentianstand/internal/settings"
	"gentianstand/platform"
)

const instanceUsage = `Runs an instance on the users' platform. Its addresses and limits come from the
platform's settings file. It has no state of its own and runs until it receives
SIGTERM or SIGINT, and then stops gracefully. On SIGHUP it reads and checks the
settings file again and logs the result, without applying changes.`

// instanceFlags are the settings of this command that are not in the platform's settings file.
type instanceFlags struct {
	settingsFile  string
	logLevel      string
	peerAdvertise string
	disabled      cell.MechanismSet
}

func (f *instanceFlags) register(s *settings.Settings) {
	s.StringVar(&f.settingsFile, "settings-file", os.Getenv(platform.SettingsVariable),
		"path of the platform's settings file; default: the value of "+platform.SettingsVariable+" in the environment")
	s.StringVar(&f.logLevel, "log-level", "info", "debug, info, warn or error")
	s.StringVar(&f.peerAdvertise, "peer-advertise", "",
		"host:port at which other instances reach this one, if it differs from the address it listens on")
	s.Var(&f.disabled, "without", "planner mechanisms to switch off, separated by commas; OPERATIONS.md lists them")
	s.Check("settings-file", "a path", func() bool { return f.settingsFile != "" })
	s.Check("log-level", "debug, info, warn, error", func() bool {
		return f.logLevel == "debug" || f.logLevel == "info" || f.logLevel == "warn" || f.logLevel == "error"
	})
}

func instanceCommand(ctx context.Context, args []string, std Streams) int {
	var f instanceFlags
	s := settings.New("instance", instanceUsage, std.Err)
	f.register(s)
	if code, done := parse(s, args, std); done {
		return code
	}
	nodeSettings, err := platform.ReadSettings(f.settingsFile)
	if err != nil {
		fmt.Fprintln(std.Err, err)
		return exitUsage
	}
	nodeSettings.PeerAdvertise = f.peerAdvertise
	nodeSettings.Disabled = f.disabled
	if err := nodeSettings.Validate(); err != nil {
		fmt.Fprintln(std.Err, err)
		return exitUsage
	}
	log := node.NewLog(f.logLevel, nodeSettings.Name, std.Out)
	adapters := node.Adapters{
		Store: platform.NewStore(nodeSettings.Store), Workers: platform.NewWorkers(), Adviser: platform.NewAdviser(nodeSettings.Adviser),
		Roster: platform.NewRoster, Catalogs: platform.NewCatalogs, Callers: platform.NewCallers,
		Waves: platform.NewWaves, Fleet: platform.NewFleet(nodeSettings.Fleet),
	}
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	go func() {
		for range hup {
			_, err := platform.ReadSettings(f.settingsFile)
			log.WithError(err).Info("settings_read_again")
		}
	}()
	app := fx.New(node.Module(nodeSettings, adapters, log))
	if err := app.Start(ctx); err != nil {
		fmt.Fprintln(std.Err, err)
		return exitFailed
	}
	<-ctx.Done()
	stopCtx, cancel := context.WithTimeout(context.Background(), app.StopTimeout())
	defer cancel()
	if err := app.Stop(stopCtx); err != nil {
		fmt.Fprintln(std.Err, err)
		return exitFailed
	}
	return exitOK
}
