// Package rwcapacity is the arithmetic of docs/CAPACITY.md: from slopes that
// were measured on one machine to the load of each role at the size to design
// for, set against the budget. The page's tables are its output.
package rwcapacity
