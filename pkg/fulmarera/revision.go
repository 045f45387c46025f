package fulmarera

// Era numbers the eras of a store: one more than the number that the store states. The zero value is that of a store that states none.
type Era int64

const (
	// revisionBits bounds the numbers of a store's revisions; at 1,000 changes a second, 42 bits last for 139 years.
	revisionBits = 42
	// MaxEra is the greatest valid era. The fences of all eras up to it are whole numbers that a double represents exactly.
	MaxEra Era = 1<<20 - 1
	// fenceBits bounds the fences of an era: 2^32 fences last for 27 years at the five plans a second of a leader.
	fenceBits = 32
)

// FirstFence returns the fence that is below all fences of the era and not below those of earlier eras. A leader of an era therefore
// gives greater fences than all leaders of earlier eras, whatever it knows of them.
func (e Era) FirstFence() int64 { return int64(e) << fenceBits }

// Revision is a revision of a store together with its era. Revisions of different eras differ, and those of a later era are greater.
// In an era of a store without eras, a Revision equals the store's number.
//
// It is one integer, as messages between daemons carry it in the place of the store's number.
type Revision int64

// NewRevision returns the revision with the given number, zero for an absent key; ok is false if the number is out of range.
func NewRevision(e Era, number int64) (r Revision, ok bool) {
	if e == 0 {
		return Revision(number), true
	}
	return Revision(int64(e)<<revisionBits | number), number >= 0 && number < 1<<revisionBits
}

// Absent returns the revision of keys that do not exist in an era.
func Absent(e Era) Revision { return Revision(int64(e) << revisionBits) }

// Era returns the era of the revision.
func (r Revision) Era() Era { return Era(r >> revisionBits) }

// Number returns the store's number of the revision.
func (r Revision) Number() int64 { return int64(r & (1<<revisionBits - 1)) }
