// Package rwgateway serves the HTTP API for callers: it parses requests in the
// format of the OpenAI completions API, finds the primary instance of each
// generation, relays the answer while keeping a copy of it, and continues with the
// copy at another instance when the primary is lost.
//
// Each event with text has a cursor in its id field. A caller that lost its
// connection posts the same request with the cursor in Last-Event-ID, or sends GET
// /v1/generations with it, to any instance, and receives the rest of the answer.
package rwgateway
