// Package oper implements the operators' HTTP API of an entry: the handler, the
// client and the types that they share. Bodies are JSON in snake_case. Each request
// carries "Authorization: Bearer TOKEN".
//
//	GET  /v1/admin/catalogue           DocumentVersion: the newest version and its document
//	POST /v1/admin/changes             ChangeRequest -> ChangeState
//	GET  /v1/admin/changes/{id}        ChangeState
//	GET  /v1/admin/history             []conf.Result, oldest first
//	GET  /v1/admin/versions/{version}  DocumentVersion: a recent version
//	GET  /v1/admin/status              Status
//
// A ChangeState is sent with the HTTP status of its outcome: accepted 200,
// published 202, conflict 409, unavailable 503, unknown 504 (404 in the response
// to GET). Other failures are sent as a Failure: invalid 400, an invalid document
// 422, unauthenticated 401, not_found 404, too large 413, internal 500.
//
// An entry implements Backend and mounts NewHandler at /v1/admin/.
package oper
