// Package rwpick chooses backend servers. It is pure: what is known of the
// servers goes in, a choice comes out.
//
// Plain requests go where the fewest requests wait for each slot, counted from
// own requests and what servers told of others'. Streams go where the prompt is
// read soonest and the memory fits; their copies go to another availability
// zone, where most memory is free, since whole zones are lost at once.
package rwpick
