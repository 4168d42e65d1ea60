// Package rwengine is the client of a model engine.
//
// Engines are met in the OpenAI completions form, with the token numbers and
// bytes that common engines add: token_ids and prompt_token_ids on each chunk,
// and logprobs.content[].bytes for the bytes of each token, since a character
// may span tokens. Continuing a generation is a completion whose prompt is the
// token prefix. An engine names each stream by the request's X-Request-Id:
// GET /v1/streams/{name}?offset=N takes a stream over, DELETE cancels it.
//
// Beside these: GET /load reports load with a lag, GET /cache gives cache
// events after a sequence number, POST /orders takes orders.
package rwengine
