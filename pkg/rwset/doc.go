// Package rwset holds small generic value types: a set and an option.
package rwset
