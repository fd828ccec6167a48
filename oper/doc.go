// Package oper is the operators' HTTP API of an entry: the handler, the client
// and the types of both. Bodies are JSON in snake_case. Each request carries
// "Authorization: Bearer TOKEN".
//
//	GET  /v1/admin/catalogue           Current: the newest version and its document
//	POST /v1/admin/changes             ChangeRequest -> Answer
//	GET  /v1/admin/changes/{id}        Answer
//	GET  /v1/admin/history             []conf.Result, oldest first
//	GET  /v1/admin/versions/{version}  Current: a recent version
//	GET  /v1/admin/status              Status
//
// An Answer has the HTTP status of its outcome: accepted 200, published 202,
// conflict 409, unavailable 503, unknown 504 (404 when asked by id). Other
// failures are a Failure: invalid 400, a faulty document 422, unauthenticated
// 401, not_found 404, too large 413, internal 500.
//
// An entry implements Backend and mounts NewHandler at /v1/admin/.
package oper
