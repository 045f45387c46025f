// Package fulmarhead checks the heads of HTTP answers for what net/http accepts
// although it is no answer.
//
// net/http keeps a field whose name holds a space under that name. A length or a
// transfer coding in such a field does not frame the body, and the line would be
// passed on. It rejects all other bytes that no name may hold itself.
package fulmarhead
