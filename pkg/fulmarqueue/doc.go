// Package fulmarqueue orders the waiting requests of one target.
//
// # Fair discipline
//
// Groups share the target's slots by weighted fair queueing on server time. A
// group's virtual time is the server time that it was charged, divided by its
// weight, in seconds. The expected cost is charged when an item starts and
// replaced by the time used at Done. The group with the lowest virtual time is
// served next. A group whose list was empty has its virtual time raised to that
// of the last start, so that it neither accumulates nor loses credit while
// idle.
//
// For two groups that both have short work waiting during an interval, the
// server time of the work started in it, divided by the weight, differs by at
// most
//
//	2 * (U + s*E) / w
//
// where s is the number of slots, U the largest time used, E the largest error
// of an expected cost and w the smaller weight. Half of it applies from the
// moment at which both groups became active together.
//
// Work of class Long takes at most slots-1 slots, or the only slot. Each group
// has a list for each class, so long work that waits for a slot does not block
// the short work behind it. Within a group the older of the eligible items
// starts first.
//
// # Exclusive work
//
// An exclusive item is selected by the same order. Once selected, it holds a
// reservation: no long work starts; short work starts only while long work is
// running, because otherwise a slow long item would block all work. Once the
// slots are empty, the item runs and the reservation ends. The item waits at
// most for the longest run in progress plus one short run, and blocks short
// work for at most one short run and its own. Its group is charged for all
// slots.
//
// # Baselines
//
// FIFO serves by arrival, Static limits every group to an equal share of the
// slots (at least one) and serves by arrival within these limits, and
// RoundRobin serves the groups in turn. None of them limits long work. Static
// divides the slots by the number of groups with limits, or by the number of
// groups held if no limits were set.
//
// # Bounds
//
// A group without limits has DefaultWeight and DefaultMaxQueued. Push returns
// ErrFull at the group's bound, and ErrDeadline if the expected drain time of
// the work that is served earlier exceeds the time to the deadline. The drain
// time is a fluid estimate from expected costs; waiting work counts 1.5 times,
// because an item that starts just before its deadline cannot finish in time.
// Call Expire before Pop: Pop does not check deadlines.
//
// Push, Pop, Done and Remove take time logarithmic in the number of groups and
// waiting items, and linear in the number of slots. They do not allocate once
// the internal arrays have grown to the load. A group that has been idle for a
// minute is dropped; limits that were set explicitly are kept.
package fulmarqueue
