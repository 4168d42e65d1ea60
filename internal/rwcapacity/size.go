package rwcapacity

// Size is a size of the system.
type Size struct {
	Instances     float64 // entry instances
	Servers       float64 // backend servers
	Requests      float64 // a second
	Tokens        float64 // a second
	Organisations float64
	Teams         float64
	Zones         float64
	Changes       float64 // of settings, a day
	Pace          float64 // seconds between the tokens of one stream
	Prompt        float64 // tokens of a prompt
	Orders        float64 // calls a second that run at most once
}

// TwoYears is the size to design for. Teams, prompt and orders are not in the
// users' letter; they are assumed.
var TwoYears = Size{
	Instances: 390, Servers: 760, Requests: 3000, Tokens: 1.4e6, Organisations: 5300, Teams: 100,
	Zones: 5, Changes: 3600, Pace: 0.073, Prompt: 1000, Orders: 100,
}

// Today is one of the first users' sites.
var Today = Size{
	Instances: 6, Servers: 40, Requests: 10, Tokens: 5000, Organisations: 10, Teams: 1,
	Zones: 3, Changes: 50, Pace: 0.073, Prompt: 1000, Orders: 2,
}

// Budget is what a node may spend on control, and what the store carries.
var Budget = struct {
	Core, Memory, Bytes, Writes, Reads, First, Gap, Resume float64
}{
	Core:   0.026,     // of a core
	Memory: 256 << 20, // bytes
	Bytes:  9000,      // a second
	Writes: 300,       // a second; the letter says several hundred
	Reads:  2000,      // a second, a waiting watch counted as one
	First:  0.91,      // seconds to the first token
	Gap:    0.073,     // seconds between tokens
	Resume: 4,         // seconds until output goes on after a loss
}

// Streams is how many answers run at once.
func (s Size) Streams() float64 { return s.Tokens * s.Pace }

// StreamsPerNode counts each answer at its gateway and at its primary.
func (s Size) StreamsPerNode() float64 { return 2 * s.Streams() / s.Instances }

// Owned is how many backend servers one instance owns.
func (s Size) Owned() float64 { return s.Servers / s.Instances }
