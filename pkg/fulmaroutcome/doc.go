// Package fulmaroutcome names the outcomes, reasons and HTTP headers that
// callers, daemons and targets exchange.
//
// An outcome tells a caller what is known about its request: it was served, it
// did not run, or it may have run. A reason says why. NotRun is used only when
// the attempt did not run and will not run.
package fulmaroutcome
