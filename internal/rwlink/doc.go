// Package rwlink implements HTTP/1.1 client connections to backend servers. A
// connection carries one request at a time, drops responses that belong to other
// requests, and reports after a failure whether the server may have run the request.
//
// A connection is read by one goroutine. While the server sends nothing, the reader
// calls a function of the caller at short intervals, which decides whether to go on
// waiting: the caller knows the stream and the server, the connection doesn't.
package rwlink
