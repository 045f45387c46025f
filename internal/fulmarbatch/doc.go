// Package fulmarbatch collects requests that wait for an answer of the leader, so that one call carries all of them.
package fulmarbatch
