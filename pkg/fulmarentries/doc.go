// Package fulmarentries compares two versions of a configuration by the text of
// their entries.
package fulmarentries
