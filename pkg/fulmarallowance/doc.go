// Package fulmarallowance bounds the repeated sends of a fleet without a call
// per request.
//
// The fleet may repeat a share of the requests of each service, plus a fixed
// number, within any window. Every daemon keeps that bound for its own requests
// and for its part of the fixed number, so the sum holds, also while daemons
// are lost or cut off.
package fulmarallowance
