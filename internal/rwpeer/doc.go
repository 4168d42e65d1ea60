// Package rwpeer is what instances tell each other directly: which streams they
// run where, and which servers they lost. Each sends its news to all others in
// datagrams as they happen. News that is lost costs a prompt read again or a
// less even load, never a wrong answer: nothing is decided by them alone.
//
// Instances find each other in the platform's store, where each keeps one entry
// that changes only when its address does.
package rwpeer
