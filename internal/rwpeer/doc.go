// Package rwpeer exchanges notices between instances by UDP: which streams each
// instance runs on which server, which servers it lost, its evidence on new
// versions, and which requests crashed servers. An instance sends each notice to all
// others when something happens. A lost datagram costs a repeated prefill or a less
// even load, never a wrong answer: correctness does not depend on notices.
//
// An instance that starts asks all others for their runs, until each has answered in
// full, and then a few of them in turn for suspicions. These requests, their answers and
// all suspicions go through an outbox, which bounds the bytes that an instance sends.
//
// Instances find each other through the platform's store, where each keeps one entry
// that changes only when its address does.
package rwpeer
