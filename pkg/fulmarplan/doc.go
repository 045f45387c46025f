// Package fulmarplan decides the changes of the slot table.
//
// Step is a function of what is known at one moment and returns the changes for
// one compare-and-swap of the table. The planner keeps in memory only what can be
// rebuilt: when epochs were acknowledged, since when a move is under way, smoothed
// loads. The table itself says in which epoch a move began. A planner that takes
// over treats the roster as if it changed in the epoch that the planner saw first;
// a table whose epoch is more than one ahead of the last one has the same effect.
// Waits then restart, which is slower and never unsafe.
//
// The caller makes a step when a table, an acknowledgement or other news arrives:
// waits count from the step that saw the acknowledgement. It passes every new table
// to Step, keeps Input.Losses and Input.Releases until they have taken effect in
// the table, and passes each load once. An acknowledgement counts only for the
// incarnation that the roster lists. All times are readings of the clock that is
// passed as now. Steps return no errors: input that does not fit the table is
// ignored, and so is a changed number of slots of a service that the table has.
package fulmarplan
