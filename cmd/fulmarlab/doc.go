// Command fulmarlab runs the stand-ins for the platform, targets and callers,
// alone or together as a demonstration, and measures the system with them.
//
//	fulmarlab demo      both users' deployments, with a loss of a daemon and a target
//	fulmarlab platform  key-value service and list
//	fulmarlab target    one target
//	fulmarlab load      callers
//	fulmarlab bench     experiments on the cores in virtual time
//	fulmarlab trial     measurements on processes
//	fulmarlab replay    loads of keyed services against the decisions in virtual time
//	fulmarlab soak      the daemon of the platform under random faults
package main
