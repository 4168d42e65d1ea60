// Package rwgateway is the callers' side of an instance: it reads requests in
// the OpenAI completions form, finds each generation's primary, keeps a copy of
// the answer while it passes, and goes on when the primary is lost.
//
// Each event that carries text has a cursor in its id field. A caller that
// lost its connection posts the same request with the cursor in Last-Event-ID,
// or gets /v1/generations with it, at any instance, and receives the rest.
package rwgateway
