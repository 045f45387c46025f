// Package fulmartoml decodes TOML strictly and reports every fault with its line
// and field.
//
// A caller decodes into a struct whose leaves have the type any, so that a value
// of the wrong type does not hide the other faults. It then converts each leaf
// with a Reader, which collects the faults. A field is written as in
// "exception[1].weight"; the indices of array tables start at 0.
package fulmartoml
