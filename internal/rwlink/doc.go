// Package rwlink is the connection to a backend server: it sends one request,
// reads what belongs to that request and nothing else, and says truly whether a
// byte of the request may have arrived.
//
// A connection is read by one goroutine. While the server is silent the reader
// asks its caller at short intervals whether to go on waiting, so that silence
// is judged by whoever knows the stream and the server.
package rwlink
