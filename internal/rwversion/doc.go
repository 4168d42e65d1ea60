// Package rwversion moves a service's requests to servers of a new version by a
// deadline, or takes them back. It decides and does no input or output.
//
// The share of the new version follows from the time since the order alone, so
// instances agree on it without a word. What requests saw of both versions is
// added up over all instances; whoever finds the new version bad by it takes it
// back at once, here and by telling the others, whether or not the store can be
// written. The outcome is written to the store by whichever watcher comes first,
// on the condition that nobody wrote before it.
package rwversion
