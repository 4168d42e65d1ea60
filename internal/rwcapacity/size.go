package rwcapacity

// Size describes the size of a deployment and its load.
type Size struct {
	Instances         float64 // entry instances
	Servers           float64 // backend servers
	RequestsPerSecond float64
	TokensPerSecond   float64 // generated tokens
	Organisations     float64
	Teams             float64
	Zones             float64
	ChangesPerDay     float64 // changes of settings
	TokenInterval     float64 // seconds between the tokens of one stream
	PromptTokens      float64 // in one prompt
	OrdersPerSecond   float64 // calls that run at most once
}

// DesignSize is the size that the system is designed for, expected in two years.
// Teams, PromptTokens and OrdersPerSecond are assumptions; the other values come
// from the users' requirements.
var DesignSize = Size{
	Instances: 390, Servers: 760, RequestsPerSecond: 3000, TokensPerSecond: 1.4e6, Organisations: 5300, Teams: 100,
	Zones: 5, ChangesPerDay: 3600, TokenInterval: 0.073, PromptTokens: 1000, OrdersPerSecond: 100,
}

// CurrentSize is the size of a site of one of the first users.
var CurrentSize = Size{
	Instances: 6, Servers: 40, RequestsPerSecond: 10, TokensPerSecond: 5000, Organisations: 10, Teams: 1,
	Zones: 3, ChangesPerDay: 50, TokenInterval: 0.073, PromptTokens: 1000, OrdersPerSecond: 2,
}

// Budget holds upper limits: Core, Memory and Bytes for the control work of one
// instance, Writes and Reads for the store, and the others for latencies.
var Budget = struct {
	Core, Memory, Bytes, Writes, Reads, First, Gap, Resume float64
}{
	Core:   0.026,     // of a core
	Memory: 256 << 20, // bytes
	Bytes:  9000,      // a second
	Writes: 300,       // a second; the users' requirements say several hundred
	Reads:  2000,      // a second; an open watch counts as one
	First:  0.91,      // seconds to the first token
	Gap:    0.073,     // seconds between tokens
	Resume: 4,         // seconds until output goes on after a loss
}

// Streams returns the number of concurrent answers, by Little's law.
func (s Size) Streams() float64 { return s.TokensPerSecond * s.TokenInterval }

// StreamsPerInstance returns the number of concurrent answers of one instance. Each
// answer counts twice: at its gateway and at its primary.
func (s Size) StreamsPerInstance() float64 { return 2 * s.Streams() / s.Instances }

// ServersPerInstance returns how many backend servers one instance owns.
func (s Size) ServersPerInstance() float64 { return s.Servers / s.Instances }
