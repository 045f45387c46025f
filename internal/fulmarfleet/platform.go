package fulmarfleet

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/fulmarbend/fulmarbend/internal/fulmarplatform"
	"github.com/fulmarbend/fulmarbend/internal/fulmarprocess"
	"github.com/fulmarbend/fulmarbend/internal/fulmarstore"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarconfig"
)

const (
	// PlatformName is the platform's name in Fleet.Network.
	PlatformName = "platform"

	configKey    = "fulmarbend/config"
	storeTimeout = time.Second
)

// Platform is the simulated platform. Its methods connect directly, not through a
// forwarder.
type Platform struct {
	*fulmarprocess.Process
	Address string
	store   *fulmarstore.Client
}

func newPlatform(p *fulmarprocess.Process, address string) *Platform {
	return &Platform{Process: p, Address: address, store: fulmarstore.New("http://"+address, storeTimeout, http.DefaultClient)}
}

// SetFault injects the given fault into the simulated key-value service. The zero
// Fault ends it.
func (p *Platform) SetFault(ctx context.Context, fault fulmarplatform.Fault) error {
	body, err := json.Marshal(fault)
	if err != nil {
		return errors.Wrap(err, "fulmarfleet: encode fault")
	}
	return p.put(ctx, "/lab/fault", body)
}

// PutConfig stores v if its version follows the stored one, or if it is version 1
// and none is stored. Otherwise it returns fulmarstore.ErrConflict.
func (p *Platform) PutConfig(ctx context.Context, v fulmarconfig.Versioned) error {
	value, err := v.Encode()
	if err != nil {
		return err
	}
	if v.Version == 1 {
		return p.store.Put(ctx, configKey, value, 0)
	}
	current, err := p.store.Get(ctx, configKey)
	if err != nil {
		return err
	}
	stored, err := fulmarconfig.DecodeVersioned(current.Data)
	if err != nil {
		return err
	}
	if stored.Version != v.Version-1 {
		return fulmarstore.ErrConflict
	}
	return p.store.Put(ctx, configKey, value, current.Index)
}

// StoredConfig returns the stored configuration.
func (p *Platform) StoredConfig(ctx context.Context) (fulmarconfig.Versioned, error) {
	current, err := p.store.Get(ctx, configKey)
	if err != nil {
		return fulmarconfig.Versioned{}, err
	}
	return fulmarconfig.DecodeVersioned(current.Data)
}

// register adds a server to the platform's server list.
func (p *Platform) register(ctx context.Context, name, id, address string, meta map[string]string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return errors.Wrap(err, "fulmarfleet: split address")
	}
	n, err := strconv.Atoi(port)
	if err != nil {
		return errors.Wrap(err, "fulmarfleet: parse port")
	}
	body, err := json.Marshal(fulmarplatform.Service{ID: id, Name: name, Address: host, Port: n, Meta: meta})
	if err != nil {
		return errors.Wrap(err, "fulmarfleet: encode registration")
	}
	return p.put(ctx, "/v1/agent/service/register", body)
}

func (p *Platform) put(ctx context.Context, path string, body []byte) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+p.Address+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "fulmarfleet: create request to the platform")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "fulmarfleet: send request to the platform")
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = errors.Errorf("status %d: %s", resp.StatusCode, text)
	}
	return errors.Wrap(err, "fulmarfleet: response of the platform")
}
