package rwentry

import (
	"net/netip"
	"reflect"
	"time"

	"ragwortwall/internal/rwerror"
)

// Settings are the settings of one process.
type Settings struct {
	Name        string // unique among the instances
	Zone        string // availability zone
	Callers     string // address for callers
	Ready       string // address at which the balancer asks whether the instance is ready
	Instances   string // address for other instances; empty for none
	Notices     string // address for datagrams of other instances; empty for none
	First       bool   // the whole system starts for the first time
	Metrics     string // address for metrics and the state dump; empty for none
	Seeds       []string
	Store       string        // address of the platform's store
	Memory      int           // bytes that the process may take; zero for no bound
	Grace       time.Duration // from the order to stop to the kill
	KeyBound    time.Duration // in which a key taken away is refused; zero for no bound
	Leave       time.Duration // in which a leaving server gets no more work
	Heartbeat   time.Duration // of the servers
	RetryRatio  float64       // repeats that the fleet may make for each request
	RetryWindow time.Duration // over which they are counted
	RetryExtra  int           // repeats that the fleet may make besides
}

// Check reports the first fault of the settings.
func (s Settings) Check() error {
	if s.Name == "" {
		return fault("name", "it is missing")
	}
	for name, address := range map[string]string{"callers": s.Callers, "ready": s.Ready, "store": s.Store} {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return fault(name, "write an IP number and a port, such as 10.0.0.7:8000")
		}
	}
	return nil
}

func fault(name, text string) error {
	return rwerror.New(rwerror.KindInvalid, "correct the settings file", "the setting %s: %s", name, text)
}

// Reload takes in the settings as they are in the file now. What a process is
// bound to from its start stays until it is started again.
func (i *Instance) Reload(s Settings, err error) {
	if err != nil {
		i.Log.Error(err, "settings can't be used; the last good ones stay")
		return
	}
	i.Log.Info("settings read again", "name", s.Name, "store", s.Store, "same", reflect.DeepEqual(s, i.Settings))
}
