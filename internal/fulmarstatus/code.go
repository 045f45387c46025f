package fulmarstatus

import "net/http"

// lastCode is the greatest status that RFC 9110 (section 15) assigns to a class.
const lastCode = 599

// Code is the number in the status line of an answer.
type Code int

// IsFinal reports whether the code is that of a final answer.
func (c Code) IsFinal() bool { return c >= http.StatusOK && c <= lastCode }

// IsInterim reports whether the code is that of an answer that another one follows.
func (c Code) IsInterim() bool { return c >= http.StatusContinue && c < http.StatusOK }
