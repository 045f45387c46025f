// Fulmarctl is the operators' command line of fulmarbend.
//
// The command routes needs no daemon: it checks configurations of the users'
// platform. All others call daemons.
//
// It talks to the admin listeners of one or more daemons, given by --server
// or FULMARBEND_SERVERS (IP:port, separated by commas, tried in order), with
// the key of --key-file, FULMARBEND_KEY_FILE or FULMARBEND_KEY (hexadecimal).
//
// Exit codes:
//
//	0  done
//	1  the daemon refused the command, or the input is invalid
//	2  invalid command line
//	3  conflict with a change that was stored first; nothing was changed
//	4  no daemon or no key-value service was reachable; nothing was changed
//	5  ambiguous: the change may or may not have taken effect
//	6  the configuration is valid, but has entries that can never apply or contradict each other
package main
