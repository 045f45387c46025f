// Fulmarctl is the operators' command line of fulmarbend.
//
// It talks to the admin listeners of one or more daemons, given by --server
// or FULMARBEND_SERVERS (IP:port, separated by commas, tried in order), with
// the key of --key-file, FULMARBEND_KEY_FILE or FULMARBEND_KEY (hexadecimal).
//
// Exit codes:
//
//	0  done
//	1  refused, or a fault in the input
//	2  wrong usage
//	3  conflict: another version was put first; nothing was changed
//	4  no daemon, or no key-value service, could be reached; nothing was changed
//	5  ambiguous: the change may have taken effect
package main
