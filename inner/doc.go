// Package inner connects the project's processes: conversions between wire and
// domain types, HTTP clients and servers, and their TLS settings.
//
// Every conversion from a wire type checks the whole message and returns a
// *carobpulley.Error of kind KindInvalid that names the first bad field.
// Payloads, results and documents are shared between the two, not copied.
package inner
