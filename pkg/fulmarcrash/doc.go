// Package fulmarcrash recognises requests that crash the targets that run them.
//
// The work of a request is identified by a fingerprint of its content, as its
// caller sends it again under other ids and to other daemons. A Record holds
// under which targets' ends the work was at them. Records are merged: the result
// does not depend on the order, nor on how often one is received. So daemons can
// exchange them over any path.
//
// Work is condemned once three targets have ended under it without an answer to
// the same work in between. Other requests that were at these targets as well
// are told apart by that: they are answered by the next one, or do not come
// again. The recorded end of a target
// that runs a later request is withdrawn.
package fulmarcrash
