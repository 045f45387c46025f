// Package fulmaradmission admits a daemon's requests to targets that have stated
// a limit.
//
// A Gate asks the leader for a permit for each request, several in one call. While
// no leader answers, it admits the requests of the daemon's turns (package
// fulmarrotation) and refuses the others at once.
package fulmaradmission
