// Package rwconfig is the settings of one process: a JSON file, with flags of
// the command line over it. Settings of the system are in package rwtree.
package rwconfig

import (
	"net/netip"
	"os"
	"time"

	"ragwortwall/internal/rwerror"
	"ragwortwall/internal/rwjson"
	"ragwortwall/internal/rwmember"
)

// Config is the settings of an entry instance.
type Config struct {
	Name      string          `json:"name"`            // unique among the instances
	Zone      string          `json:"zone"`            // availability zone
	Callers   string          `json:"callers"`         // address for callers' HTTP
	Instances string          `json:"instances"`       // address for other instances
	Operators string          `json:"operators"`       // address for operators' HTTP
	Platform  string          `json:"platform"`        // URL of the platform's API
	Peers     []rwmember.Peer `json:"peers,omitempty"` // known before the platform's list is
	Drain     rwjson.Duration `json:"drain,omitempty"` // longest wait for running answers at shutdown; 10m if absent
	TLS       *TLS            `json:"tls,omitempty"`   // between instances
	Verbose   bool            `json:"verbose,omitempty"`
}

// TLS names the files of the keys for TLS between instances.
type TLS struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	Authority   string `json:"authority"`
}

// DefaultDrain is the longest wait for running answers at shutdown.
const DefaultDrain = 10 * time.Minute

// Read reads a file of settings. Without a name it returns empty settings, to be
// filled by flags.
func Read(file string) (Config, error) {
	var c Config
	if file == "" {
		return c, nil
	}
	content, err := os.ReadFile(file)
	if err != nil {
		return c, rwerror.New(rwerror.KindInvalid, "name a file that can be read", "%v", err)
	}
	return c, rwjson.Unmarshal(content, &c)
}

// Check reports the first fault of the settings, by its JSON path.
func (c Config) Check() error {
	if c.Name == "" {
		return fault("name", "write the instance's name", "it is missing")
	}
	if c.Zone == "" {
		return fault("zone", "write the availability zone", "it is missing")
	}
	for path, address := range map[string]string{"callers": c.Callers, "instances": c.Instances, "operators": c.Operators} {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return fault(path, "write an IP number and a port, such as 10.0.0.7:8000", "it is no address")
		}
	}
	if c.Platform == "" {
		return fault("platform", "write the URL of the platform's API", "it is missing")
	}
	return nil
}

func fault(path, remedy, text string) error {
	return rwerror.New(rwerror.KindInvalid, remedy, "$.%s: %s", path, text)
}

// Peer is this instance as others know it.
func (c Config) Peer() rwmember.Peer {
	return rwmember.Peer{Name: c.Name, Address: c.Instances, Zone: c.Zone}
}
