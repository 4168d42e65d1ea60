package rwentry

import (
	"net/netip"
	"reflect"
	"time"

	"ragwortwall/internal/rwerror"
)

// Settings are the settings of one process.
type Settings struct {
	Name              string // unique among the instances
	Zone              string // availability zone
	CallerAddress     string // address for callers
	ReadyAddress      string // address at which the balancer asks whether the instance is ready
	PeerAddress       string // address for other instances; empty for none
	DatagramAddress   string // address for datagrams of other instances; empty for none
	Bootstrap         bool   // the whole system starts for the first time
	MetricsAddress    string // address for metrics and the state dump; empty for none
	Seeds             []string
	StoreAddress      string        // address of the platform's store
	MemoryLimit       int           // bytes that the process may take; zero for no bound
	GracePeriod       time.Duration // from the order to stop to the kill
	RevocationBound   time.Duration // in which a key taken away is refused; zero for no bound
	DrainTimeout      time.Duration // in which a leaving server gets no more work
	HeartbeatInterval time.Duration // of the servers
	RetryRatio        float64       // repeats that the fleet may make for each request
	RetryWindow       time.Duration // over which they are counted
	RetryExtra        int           // repeats that the fleet may make besides
}

// Check reports the first fault of the settings.
func (s Settings) Check() error {
	if s.Name == "" {
		return settingError("name", "it is missing")
	}
	for name, address := range map[string]string{"callers": s.CallerAddress, "ready": s.ReadyAddress, "store": s.StoreAddress} {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return settingError(name, "write an IP number and a port, such as 10.0.0.7:8000")
		}
	}
	return nil
}

func settingError(name, text string) error {
	return rwerror.New(rwerror.KindInvalid, "correct the settings file", "the setting %s: %s", name, text)
}

// Reload takes in the settings as they are in the file now. What a process is
// bound to from its start stays until it is started again.
func (i *Instance) Reload(s Settings, err error) {
	if err != nil {
		i.Log.Error(err, "settings can't be used; the last good ones stay")
		return
	}
	i.Log.Info("settings read again", "name", s.Name, "store", s.StoreAddress, "same", reflect.DeepEqual(s, i.Settings))
}
