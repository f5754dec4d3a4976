// Package rest implements platform.Platform over HTTP and JSON: [Client] calls it and
// [Handler] serves it. Entries use the client; simulators of the platform use the handler.
//
// Each call is a POST of a JSON object to /v1/<operation> under the base URL and is answered
// by a JSON object. The status gives the outcome: 2xx done, 409 a precondition did not hold,
// other 4xx refused, 429 and 503 not done. A write with any other answer, or none, has an
// unknown outcome.
package rest
