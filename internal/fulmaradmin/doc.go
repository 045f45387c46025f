// Package fulmaradmin is the operators' HTTP API of a daemon and its client.
//
// The API serves JSON under /v1/:
//
//	GET    /v1/status                  what the daemon knows of itself and the fleet
//	GET    /v1/members                 members with the configuration version in force on each
//	GET    /v1/config                  the configuration in force, with version, operation and author
//	POST   /v1/config/check            {text}: faults, or the difference from the configuration in force
//	PUT    /v1/config                  {base, operation, author, text}: compare-and-swap on version base
//	GET    /v1/table                   epoch, owners and moving slots of each service
//	GET    /v1/targets                 targets with owner, holder and drain
//	GET    /v1/explain?service=&key=&group=
//	GET    /v1/quarantine              suspect and condemned fingerprints
//	DELETE /v1/quarantine/{fingerprint}
//	POST   /v1/roster/confirm          {member}: the member is lost for good
//
// Each request carries an HMAC-SHA256 over method, path with query, date, nonce
// and body, made with the key admin.key. A date that is more than 30 s off, or
// before the start of the daemon, and a nonce that was seen before are refused
// with 401. Nonces are known to one daemon only; the requests that change
// something can be repeated at another daemon without further effect.
//
// A failure is answered with an Error: 400 malformed, 401 not authenticated, 404
// unknown name, 409 conflict (with the current version and the difference from
// it), 422 faults in the configuration, 503 key-value service not available (no
// effect), 504 ambiguous (the put may take effect). A put whose answer from the
// key-value service was lost is read back and repeated with its own operation
// id; it is reported as ambiguous only if that does not settle it.
package fulmaradmin
