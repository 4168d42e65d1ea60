// Package rwstandin implements small stand-ins for the outside systems that
// ragwortwall uses: the platform's object API, a model engine, and a plain HTTP
// service. Each has switches that inject the faults of the real system. They
// serve the demo, the tests and the measurements; they don't simulate a cluster.
package rwstandin
