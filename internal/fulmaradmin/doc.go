// Package fulmaradmin is the HTTP API of a daemon for operators, and a client of it.
//
// The API serves JSON under /v1/:
//
//	GET    /v1/status                  state of the daemon and of the fleet as it knows it
//	GET    /v1/members                 members with the configuration version in force on each
//	GET    /v1/config                  the configuration in force, with version, operation and author
//	POST   /v1/config/check            {text}: faults, or the difference from the configuration in force
//	PUT    /v1/config                  {base, operation, author, text}: compare-and-swap on version base
//	GET    /v1/table                   epoch, owners and moving slots of each service
//	GET    /v1/targets                 targets with dispatcher, owned slots and drain
//	GET    /v1/explain?service=&key=&group=   routing and limits of a request
//	GET    /v1/quarantine              suspect and condemned fingerprints
//	DELETE /v1/quarantine/{fingerprint}       end the quarantine
//	POST   /v1/roster/confirm          {member}: confirm that the member is permanently lost
//
// Each request carries an HMAC-SHA256 over method, path with query, date, nonce
// and body, computed with the key of the setting admin.key. The daemon rejects
// with 401 a date that differs from its clock by more than 30 s or is before its
// start, and a nonce that it has seen before. Each daemon tracks nonces on its
// own, so a request can be replayed at another daemon; this is safe because
// requests that change something are idempotent.
//
// A failed request is answered with an Error: 400 malformed, 401 not
// authenticated, 404 unknown name, 409 conflict (with the current version and
// the difference from it), 422 errors in the configuration, 503 key-value service
// not available (no effect), 504 ambiguous (the put may take effect). If the
// key-value service does not answer a put, the daemon reads the configuration
// back and repeats the put with the same operation id; it reports the put as
// ambiguous only if the outcome is still unknown after that.
package fulmaradmin
