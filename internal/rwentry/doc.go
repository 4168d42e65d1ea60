// Package rwentry runs one entry instance on a platform whose backend servers
// register themselves in the platform's store. An instance watches the store,
// proxies callers' requests through package rwforward, reports its readiness to
// the load balancer and shuts down gracefully.
package rwentry
