package rwentry

import (
	"net/netip"
	"reflect"
	"time"

	"ragwortwall/internal/rwerror"
)

// Settings are the settings of one process.
type Settings struct {
	Name              string        // unique among the instances
	Zone              string        // availability zone
	CallerAddress     string        // listen address for callers
	ReadyAddress      string        // listen address for the load balancer's readiness checks
	PeerAddress       string        // listen address for other instances; empty for none
	DatagramAddress   string        // address for datagrams of other instances; empty for none
	Bootstrap         bool          // the whole system starts for the first time
	MetricsAddress    string        // listen address for metrics and the state dump; empty for none
	Seeds             []string      // peer addresses of the instances that a new instance follows first
	StoreAddress      string        // address of the platform's store
	MemoryLimit       int           // bytes that the process may use; zero for no limit
	Descriptors       int           // that the process may have open; zero for what the system allows
	GracePeriod       time.Duration // from the stop signal to the kill
	SettingsBound     time.Duration // within which acknowledged settings must be in force; zero for no bound
	RevocationBound   time.Duration // within which a revoked API key must be refused; zero for no bound
	DrainTimeout      time.Duration // within which a leaving server must get no more work
	HeartbeatInterval time.Duration // of the backend servers
	RetryRatio        float64       // retries that the fleet may make per request
	RetryWindow       time.Duration // over which requests and retries are counted
	RetryExtra        int           // retries that the fleet may make on top of the ratio
	Duties            DutySettings  // zero if the deployment has none
}

// DutySettings are the settings of the duties that one instance carries out at a time.
type DutySettings struct {
	Address        string        // of the platform's interface for duties
	CallsPerSecond float64       // that all instances together may make; zero if unknown
	LeaseBound     time.Duration // within which two holders must not take turns
	Fenced         bool          // the platform refuses calls with an outdated fencing number
	Usage          bool          // usage is to be reported
	UsageWindow    time.Duration // length of a window of usage
	UsageDue       time.Duration // after the end of a window, by when its report is due
	Scale          bool          // the number of servers is to be ordered
}

// Any reports whether the deployment has a duty.
func (d DutySettings) Any() bool { return d.Usage || d.Scale }

// Check checks that the name is set and that the addresses of the callers' listener,
// the readiness listener and the store are valid. It returns an error of KindInvalid
// for one setting that is not.
func (s Settings) Check() error {
	if s.Name == "" {
		return settingError("name", "must not be empty")
	}
	for name, address := range map[string]string{"callers": s.CallerAddress, "ready": s.ReadyAddress, "store": s.StoreAddress} {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return settingError(name, "must be an IP address and a port, such as 10.0.0.7:8000")
		}
	}
	return nil
}

func settingError(name, requirement string) error {
	return rwerror.New(rwerror.KindInvalid, "correct the settings file", "the setting %s %s", name, requirement)
}

// Reload logs whether the settings read again from the file are valid and differ
// from those in use. It applies none of them: changes take effect at the next start.
func (i *Instance) Reload(s Settings, err error) {
	if err != nil {
		i.Log.Error(err, "invalid settings file, keeping the settings in use")
		return
	}
	i.Log.Info("settings file read again", "name", s.Name, "store", s.StoreAddress, "same", reflect.DeepEqual(s, i.Settings))
}
