// Package fulmarproof contains only tests. They check the invariants I1 to I8 of
// the design on real processes under faults.
//
// Each test runs a deployment of package fulmarfleet under load, injects a
// fault, waits until every key is served again, and checks the histories of
// targets and callers. The time bounds are those of the design. docs/PROOFS.md
// lists the tests by invariant. Set FULMARPROOF_SEED to repeat the load of a run.
package fulmarproof
