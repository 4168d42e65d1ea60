// Command rwentry runs an entry instance on the users' platform. It is separate from
// ragwortwall, the program with the product's own interface, so that it links only
// the packages it uses.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"ragwortwall/internal/rwentry"
	"ragwortwall/internal/rwlog"
	"ragwortwall/internal/rwpath"
	"ragwortwall/platform"
)

// logFlushTimeout is how long the last log lines may take to be written at exit.
const logFlushTimeout = 200 * time.Millisecond

func main() {
	os.Exit(run())
}

func run() int {
	// Without a reader of its log, the process loses log lines but keeps running.
	signal.Ignore(syscall.SIGPIPE)
	logWriter := rwlog.NewWriter(os.Stdout)
	defer logWriter.Close(logFlushTimeout)
	log := rwlog.New(logWriter)
	settings, err := platform.ReadSettings(os.Getenv(platform.SettingsPathVariable))
	if err != nil {
		log.Error(err, "invalid settings file")
		return 1
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	store := platform.NewStore(settings.StoreAddress)
	dialer := &rwpath.Dialer{}
	instance := &rwentry.Instance{
		Settings: settings, ReadyPath: platform.ReadyPath, Wire: platform.Headers{}, Engines: platform.NewEngines(dialer.Dial), Dialer: dialer, Log: log,
		DutyClient:  platform.NewCloud(settings.Duties.Address, settings.Duties.CallsPerSecond),
		Stores:      rwentry.Stores{States: platform.States(store), Servers: platform.Servers(store), Members: platform.Instances(store), Moves: platform.NewMoves(store), Quarantines: platform.Quarantines(store), Duties: platform.NewDutyStore(store), Usage: platform.UsageWindows{Store: store}, Era: &store.Era},
		DecodeState: platform.DecodeState, DecodeServer: platform.DecodeServer, DecodeMove: platform.DecodeMove,
	}
	go func() {
		for range reload {
			instance.Reload(platform.ReadSettings(os.Getenv(platform.SettingsPathVariable)))
		}
	}()
	if err := instance.Run(ctx); err != nil {
		log.Error(err, "ended")
		return 1
	}
	return 0
}
