// Package fulmaroutcome names the outcomes, reasons and HTTP headers that
// callers, daemons and targets exchange.
//
// An outcome tells a caller what is known about the execution of its request:
// it was served, it was not executed, or it may have been executed. A reason
// explains the outcome. NotRun is used only if the attempt was not and will not
// be executed.
package fulmaroutcome
