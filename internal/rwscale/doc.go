// Package rwscale orders the number of model servers in each availability zone, where the
// platform starts and stops servers on order and each second of a server is paid.
//
// It answers three patterns of load: demand that swings within seconds, which must not cause
// orders; demand that jumps, which servers still starting can't carry; and the loss of a zone,
// which the other zones must carry without an order, as an order takes longer than most losses.
//
// Plan decides, from the demand of the last seconds and the servers that are listed. It is pure.
// Collector samples what this instance knows; every instance does, so that whoever takes the duty
// over has a history. Orders keeps the orders that are not yet visible in the list. Orderer sends
// orders while this instance holds the duty. What is listed is the truth: an order of an operator
// beside ours is seen there, and so is an order whose answer was lost.
package rwscale
