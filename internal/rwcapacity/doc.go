// Package rwcapacity computes the tables of docs/CAPACITY.md. It extrapolates
// measurements taken on one machine to the load of each role at the design size
// and compares the load with the budget.
package rwcapacity
