// Package rwservice is a reverse proxy for plain services, that is, for routes that
// do not lead to model engines. Package rwattempt decides what follows each attempt
// and package rwlink sends the calls. Calls that must run at most once are recorded
// with package rwonce before they are sent, and their outcome afterwards.
package rwservice
