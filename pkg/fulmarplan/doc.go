// Package fulmarplan decides the changes of the slot table.
//
// Step is a function of what is known at one moment and returns the changes for
// one compare-and-swap of the table. The planner keeps in memory only what can be
// rebuilt: when the epochs were acknowledged, since when a move is under way,
// smoothed loads. A planner that takes over treats every move, and the roster, as
// if it began at the epoch that the planner saw first; a table whose epoch is more
// than one ahead of the last one has the same effect. Waits then restart, which is
// slower and never unsafe.
//
// The caller steps when a table, an acknowledgement or other news arrives: waits count from the step that saw the
// acknowledgement. It passes every new table to Step, keeps Input.Losses and Input.Releases
// until they have taken effect in the table, and passes each load once. An
// acknowledgement counts only for the incarnation that the roster lists. All times
// are readings of the clock that is passed as now. Steps return no errors: input
// that does not fit the table is ignored.
package fulmarplan
