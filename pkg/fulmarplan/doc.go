// Package fulmarplan decides the changes of the slot table.
//
// Planner.Step takes a snapshot of the cluster state and returns the changes for
// one compare-and-swap of the table. The planner keeps in memory only state that
// can be rebuilt: when epochs were acknowledged, when moves started, and smoothed
// loads. The table records the epoch in which each move began. After a takeover, or
// after a table whose epoch skips ahead by more than one, the planner assumes that
// the roster changed in the first epoch it sees. All waits then restart, which is
// slower but safe.
//
// The caller calls Step whenever a new table, acknowledgement or other input
// arrives, because waits count from the step that saw the acknowledgement. It
// passes every new table, keeps Input.Losses and Input.Releases until the table
// reflects them, and passes each load once. An acknowledgement counts only for the
// incarnation listed in the roster. All times are readings of the clock passed as
// now. Step returns no errors: it ignores input that does not fit the table, and a
// changed slot count for a service that the table already has.
package fulmarplan
