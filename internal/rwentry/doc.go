// Package rwentry is an entry instance on a platform whose servers speak for
// themselves: it follows the store, answers callers through package rwforward,
// says whether it is ready, and leaves without cutting a request.
package rwentry
