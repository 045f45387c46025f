package fulmarlink

// headScanner finds lines of a head that start with white space, whose names would begin with it. net/http joins such a line to the
// value before it, as RFC 9112 (section 5.2) permits, so that its header does not show them. No server may send them, and a value
// that has grown, such as a signature, is not the target's.
type headScanner struct {
	column int // bytes in the current line
	ended  bool
	folded bool // there is such a line
}

// scan scans the next bytes of the connection, up to the end of the head.
func (s *headScanner) scan(b []byte) {
	for _, c := range b {
		if s.ended {
			return
		}
		switch {
		case c == '\n':
			s.ended, s.column = s.column == 0, 0
			continue
		case c == '\r':
			continue
		case s.column == 0 && (c == ' ' || c == '\t'):
			s.folded = true
		}
		s.column++
	}
}
