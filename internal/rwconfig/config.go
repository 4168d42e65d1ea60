// Package rwconfig reads and validates the settings of one process: a JSON file,
// which flags of the command line override. The settings of the whole system are in
// package rwtree.
package rwconfig

import (
	"net/netip"
	"os"
	"time"

	"ragwortwall/internal/rwerror"
	"ragwortwall/internal/rwjson"
	"ragwortwall/internal/rwmember"
)

// Config holds the settings of an instance.
type Config struct {
	Name         string          `json:"name"`              // instance name, unique among all instances
	Zone         string          `json:"zone"`              // availability zone
	Callers      string          `json:"callers"`           // listen address for callers' HTTP requests
	Instances    string          `json:"instances"`         // listen address for calls of other instances
	Operators    string          `json:"operators"`         // listen address for operators' HTTP requests
	Platform     string          `json:"platform"`          // URL of the platform's API
	Peers        []rwmember.Peer `json:"peers,omitempty"`   // instances known before the platform's list has been read
	DrainTimeout rwjson.Duration `json:"drain,omitempty"`   // maximum wait for running answers at shutdown; 10m if absent
	TLS          *TLS            `json:"tls,omitempty"`     // for connections between instances
	Verbose      bool            `json:"verbose,omitempty"` // also log debug messages

	MemoryMB    int `json:"memory,omitempty"`      // memory that the process may use, in MB; that of the machine if absent
	Descriptors int `json:"descriptors,omitempty"` // descriptors that it may have open; what the system allows if absent
}

// TLS names the certificate and key files for TLS between instances.
type TLS struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	Authority   string `json:"authority"`
}

// DefaultDrainTimeout is the maximum wait for running answers at shutdown if
// DrainTimeout is not set.
const DefaultDrainTimeout = 10 * time.Minute

// Read reads a settings file. If file is empty, it returns empty settings, which the
// caller fills from flags.
func Read(file string) (Config, error) {
	var c Config
	if file == "" {
		return c, nil
	}
	content, err := os.ReadFile(file)
	if err != nil {
		return c, rwerror.New(rwerror.KindInvalid, "give the path of a readable file", "%v", err)
	}
	return c, rwjson.Unmarshal(content, &c)
}

// Check returns an error of kind invalid if a required setting is missing or a listen
// address is invalid. It names one such setting by its JSON path, and the remedy.
func (c Config) Check() error {
	if c.Name == "" {
		return invalidSetting("name", "write the instance's name", "it is missing")
	}
	if c.Zone == "" {
		return invalidSetting("zone", "write the availability zone", "it is missing")
	}
	for path, address := range map[string]string{"callers": c.Callers, "instances": c.Instances, "operators": c.Operators} {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return invalidSetting(path, "write an IP address and a port, such as 10.0.0.7:8000", "it is not an IP address and a port")
		}
	}
	if c.Platform == "" {
		return invalidSetting("platform", "write the URL of the platform's API", "it is missing")
	}
	return nil
}

func invalidSetting(path, remedy, text string) error {
	return rwerror.New(rwerror.KindInvalid, remedy, "$.%s: %s", path, text)
}

// Peer returns the description of this instance that its peers use.
func (c Config) Peer() rwmember.Peer {
	return rwmember.Peer{Name: c.Name, Address: c.Instances, Zone: c.Zone}
}
