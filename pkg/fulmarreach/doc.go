// Package fulmarreach judges which targets can be given keys, by the orders that
// they answer.
//
// A target whose orders have failed for long enough is lost, and its keys go to
// others. It then owns nothing, so no order is due that it could answer: a Board
// says when it is to be asked with a probe, an order that changes nothing. A
// lost target that has answered for the whole time of a trial is reachable
// again. The trial doubles for a target that is lost soon after it has come
// back, as each return and each loss moves keys.
//
// Judgements are of one incarnation of a target, so the next one starts without
// them. The package has no I/O; the caller passes the times.
package fulmarreach
