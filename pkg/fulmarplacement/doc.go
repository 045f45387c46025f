// Package fulmarplacement places the requests without keys of a whole fleet on
// targets.
//
// It answers a load of many daemons in front of targets that share their
// machines with others: 144 daemons with four requests a second each, 73
// targets of which a fifth is three times slower for 0.4 s at a time. A single
// daemon sees each target once in 16 s, so that whatever it remembers is
// outdated, and requests queue at some targets while others are idle.
//
// A Placer merges what all daemons do at each target into one estimate, and
// chooses the target of each request by it. The estimate is that of package
// fulmarbalancer, which a daemon uses by itself while it has no placer.
//
// Daemons state the absolute number of their requests in flight, so that a
// statement that is lost is made good by the next one. What a daemon has stated
// is dropped when it has stated nothing more for some seconds. The state is
// bounded by the targets in use of each daemon.
//
// The package has no I/O and no clock.
package fulmarplacement
