// Command fulmarlab simulates the platform, targets and callers, each in its own
// process or all together as a demonstration, and measures the system with them.
//
//	fulmarlab demo      both users' deployments, with the loss of a daemon and of a target
//	fulmarlab platform  key-value service and list of instances and targets
//	fulmarlab target    one target
//	fulmarlab load      simulated callers
//	fulmarlab bench     experiments on the policy packages in virtual time
//	fulmarlab trial     measurements of a fleet of processes
//	fulmarlab replay    simulation of the router's decisions under loads of keyed services
//	fulmarlab soak      daemons of the users' platform under random faults
package main
