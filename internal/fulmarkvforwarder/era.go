package fulmarkvforwarder

import (
	"github.com/pkg/errors"

	"github.com/fulmarbend/fulmarbend/internal/fulmarleaderrpc"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarkv"
)

// checkEra takes over the era of a forwarded answer. An answer of a former era is none, nor is one of a daemon of an earlier build
// where the store states eras.
func (s *Store) checkEra(a *fulmarleaderrpc.StoreAnswer, c *fulmarleaderrpc.StoreCall) error {
	if err := s.eras.Adopt(a.Era); err != nil {
		if c.Commit != nil || c.CreateLease != nil || c.RenewLease != nil || c.RevokeLease != nil {
			return errors.Wrap(fulmarkv.ErrAmbiguous, err.Error())
		}
		return errors.Wrap(fulmarkv.ErrUnavailable, err.Error())
	}
	return nil
}
