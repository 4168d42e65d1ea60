// Package rwset holds small generic value types: a set and an optional value.
package rwset
