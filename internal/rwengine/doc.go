// Package rwengine is an HTTP client for model engines.
//
// Engines implement the OpenAI completions API with fields that common engines add:
// token_ids and prompt_token_ids on each chunk, and logprobs.content[].bytes with
// the bytes of each token, since a character may span tokens. A generation is
// continued by a completion whose prompt is the token prefix. An engine names each
// stream after the X-Request-Id of its request: GET /v1/streams/{name}?offset=N
// resumes a stream and DELETE /v1/streams/{name} cancels it.
//
// Further endpoints: GET /load returns a load report, which may be stale; GET /cache
// returns prefix cache events after a sequence number; POST /orders takes orders to
// load or unload a version.
package rwengine
