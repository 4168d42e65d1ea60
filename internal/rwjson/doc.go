// Package rwjson decodes JSON strictly: an unknown field or a value of the wrong type
// is an error that names the path of the field and the remedy. Its type Duration is
// for durations in settings, which are written as strings such as "1.5s".
package rwjson
