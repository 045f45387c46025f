// Package fulmarhedge decides when a request that may be repeated is sent a
// second time because its answer is late, a hedged request.
//
// The load pattern that it answers: nearly all answers come within a narrow time,
// and a few take many times as long, because an answer was lost, a connection has
// fallen silent or a target is slow for a moment. Callers of these few wait until
// their deadline although another send would be answered at once.
//
// A Hedger learns for each route how long answers take, and names the delay that
// nearly all of them stay below. It permits a hedge for at most a set share of the
// requests, and none after a target has had no room, as more work would make the
// answers of all callers later.
//
// The package has no I/O and no clock.
package fulmarhedge
