// Package fulmartrial measures daemons, targets and the key-value service as
// separate processes on loopback addresses; it is no part of the system.
//
// A Trial runs parts by name: size (bytes of state and messages, in the trial's
// own process), idle (control cost at rest), loss (unavailable time of a key),
// config (time until a version is in force), hops (added latency and requests
// for a core), crest (a tenfold demand, a surge of one group and hot keys). Each part but size starts its own fleets, bounds its time, ends its
// processes, prints a table and writes the same rows as CSV. All random choices
// but request ids and the daemons' own come from the seed. CPU and memory are
// those of /proc for the processes that the trial started. Every row carries the
// load average of the machine, since other work distorts the figures.
package fulmartrial
