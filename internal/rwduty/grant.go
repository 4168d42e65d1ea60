package rwduty

// Grant is the right of this instance to carry out the duties now. Each call that carries out
// a duty bears it. A grant is an immutable value.
type Grant struct {
	Holder string // name of this instance
	Fence  int64  // fencing number, which rises with each change of the holder
}
