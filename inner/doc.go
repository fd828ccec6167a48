// Package inner implements the communication between the project's processes:
// conversions between wire types and domain types, HTTP clients and servers, and
// their TLS settings.
//
// A conversion from a wire type that can fail checks the whole message and returns a
// *carobpulley.Error of kind KindInvalid that describes the first invalid field.
// Payloads, results and documents are shared between the two types, not copied.
package inner
