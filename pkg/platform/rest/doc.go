// Package rest reaches the platform over HTTP and JSON.
//
// Each call is one POST of a JSON object to /v1/<operation> under the base
// URL, answered by a JSON object. It is the only package that knows the
// transport: another platform needs another adapter and nothing else. A
// status tells the outcome: 2xx done, 409 a precondition did not hold, other
// 4xx refused, 429 and 503 not done; a lost or any other answer leaves the
// outcome of a write unknown.
package rest
