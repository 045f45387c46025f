// Package fulmartoml reads TOML strictly and names every fault with its line
// and field.
//
// A caller decodes into a struct whose leaves have the type any, so that one
// value of a wrong kind does not hide the other faults. A Reader then converts
// each leaf and collects what is wrong with it. Fields are written as in
// "exception[1].weight"; array tables count from zero.
package fulmartoml
