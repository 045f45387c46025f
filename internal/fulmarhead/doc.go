// Package fulmarhead checks the heads of HTTP answers for what net/http accepts
// although it is no answer.
//
// net/http keeps a field whose name holds a space under that name, so that a length
// or a transfer coding in such a field does not frame the body. It drops the field
// only when the header is written again. It rejects all other bytes that no name may
// hold itself.
package fulmarhead
