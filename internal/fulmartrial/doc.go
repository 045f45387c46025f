// Package fulmartrial measures daemons, targets and the key-value service as
// separate processes on loopback addresses. It is a measuring tool and not part
// of the router.
//
// A Trial runs these parts by name:
//
//   - size: bytes of state and messages, measured in the trial's own process
//   - idle: CPU, memory and control traffic of daemons without requests
//   - loss: time for which a key is unavailable after a process is lost
//   - config: time until a configuration version is in force on all daemons
//   - hops: latency that each hop adds, and requests per second of a CPU core
//   - crest: a tenfold rise of the demand, a surge of one group, and hot keys
//
// Every part but size starts its own fleets, limits their run time and ends their
// processes. Each part prints tables and writes the same rows as CSV files. All
// random choices come from the seed, except request ids and those that daemons
// make. CPU and memory are read from /proc for the processes that the trial
// started. Every row holds the machine's load average, since other work on the
// machine distorts the results.
package fulmartrial
