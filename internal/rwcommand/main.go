package rwcommand

import (
	"expvar"
	"io"
	"os/signal"
	"syscall"

	"ragwortwall/internal/rwconfig"
	"ragwortwall/internal/rwmove"
	"ragwortwall/internal/rwnet"
	"ragwortwall/internal/rwserve"

	"github.com/jessevdk/go-flags"
)

type options struct {
	Serve serveCommand `command:"serve" description:"run an instance until it is stopped by a signal"`
	Hash  hashCommand  `command:"hash" description:"print the hash of a key, which the settings store instead of the key"`
	Check checkCommand `command:"check" description:"check settings files without starting an instance"`

	Settings     settingsCommands     `command:"settings" description:"read and change the settings tree"`
	Organisation organisationCommands `command:"organisation" description:"list, add and remove organisations with their API keys"`
	Route        routeCommands        `command:"route" description:"list the routes to backend servers"`
	Server       serverCommands       `command:"server" description:"stop or resume sending new work to backend servers"`
	Move         moveCommands         `command:"move" description:"start, show and control moves of routes to another version"`
	State        stateCommand         `command:"state" description:"print the state of an instance"`
	Explain      explainCommand       `command:"explain" description:"print the timeline of one request from the log files of instances"`
}

// newOptions returns the commands of ragwortwall, which print to std.
func newOptions(std stdio) *options {
	opts := &options{Hash: hashCommand{std: std}, Check: checkCommand{std: std}, Explain: explainCommand{std: std}}
	for _, c := range []*operatorOptions{
		&opts.Settings.List.operatorOptions, &opts.Settings.Get.operatorOptions, &opts.Settings.Put.operatorOptions,
		&opts.Settings.Status.operatorOptions, &opts.Settings.History.operatorOptions, &opts.Settings.Rollback.operatorOptions,
		&opts.Organisation.List.operatorOptions, &opts.Organisation.Add.operatorOptions, &opts.Organisation.Remove.operatorOptions,
		&opts.Route.List.operatorOptions, &opts.Server.Leave.operatorOptions, &opts.State.operatorOptions,
		&opts.Move.Start.operatorOptions, &opts.Move.Status.operatorOptions, &opts.Move.TakeBack.operatorOptions,
		&opts.Move.Pause.operatorOptions, &opts.Move.Resume.operatorOptions,
	} {
		c.std = std
	}
	opts.Move.TakeBack.action = rwmove.ActionTakeBack
	opts.Move.Pause.action = rwmove.ActionPause
	opts.Move.Resume.action = rwmove.ActionResume
	return opts
}

// Main runs the program ragwortwall and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	std := stdio{out: stdout, err: stderr}
	opts := newOptions(std)
	parser := flags.NewNamedParser("ragwortwall", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("ragwortwall", "", opts); err != nil {
		panic(err)
	}
	return parseAndRun(parser, args, std)
}

type serveCommand struct {
	File      string `long:"settings" description:"JSON file with the settings of the process; the other flags override it"`
	Name      string `long:"name" description:"name of the instance"`
	Zone      string `long:"zone" description:"availability zone of the instance"`
	Callers   string `long:"callers" description:"address to listen on for HTTP requests of callers"`
	Instances string `long:"instances" description:"address to listen on for calls of other instances"`
	Operators string `long:"operators" description:"address to listen on for HTTP requests of operators"`
	Platform  string `long:"platform" description:"URL of the platform's API"`
	Verbose   bool   `long:"verbose" description:"also log debug messages"`
}

// Execute runs the instance until a signal stops it.
func (c *serveCommand) Execute([]string) error {
	config, err := c.config()
	if err != nil {
		return err
	}
	log, err := newLog(config.Verbose)
	if err != nil {
		return err
	}
	ctx, stop := signalContext()
	defer stop()
	// Without a reader of its log, the process loses log lines but keeps running.
	signal.Ignore(syscall.SIGPIPE)
	instance := &rwserve.Instance{Config: config, Network: rwnet.TCP{}, Log: log.WithValues("instance", config.Name)}
	if config.TLS != nil {
		tlsConfig, err := rwnet.LoadTLS(config.TLS.Certificate, config.TLS.Key, config.TLS.Authority)
		if err != nil {
			return err
		}
		instance.PeerNetwork = rwnet.TLS{Network: rwnet.TCP{}, Config: tlsConfig}
	}
	instance.Init()
	expvar.Publish("ragwortwall", expvar.Func(func() any { return instance.Metrics() }))
	return instance.Run(ctx)
}

// config reads the settings file, overrides it with the flags that are set, and checks
// the result.
func (c *serveCommand) config() (rwconfig.Config, error) {
	config, err := rwconfig.Read(c.File)
	if err != nil {
		return config, err
	}
	for _, f := range []struct {
		flag   string
		target *string
	}{
		{c.Name, &config.Name},
		{c.Zone, &config.Zone},
		{c.Callers, &config.Callers},
		{c.Instances, &config.Instances},
		{c.Operators, &config.Operators},
		{c.Platform, &config.Platform},
	} {
		if f.flag != "" {
			*f.target = f.flag
		}
	}
	config.Verbose = config.Verbose || c.Verbose
	return config, config.Check()
}
