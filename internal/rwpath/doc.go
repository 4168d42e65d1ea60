// Package rwpath connects an instance to backend servers.
package rwpath
