// Package rwjson reads JSON strictly: an unknown or mistyped field is an error
// that names the field's path and the remedy. It also has the type of durations
// in settings, which are written as text such as "1.5s".
package rwjson
