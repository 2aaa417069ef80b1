package main

import (
	"fmt"
	"reflect"
	"time"

	"go.uber.org/zap"

	"willowsill/decide/sharedhealth"
	"willowsill/deployment"
	"willowsill/deployment/operator"
	"willowsill/internal/counters"
	"willowsill/node"
	"willowsill/transport/replica"
	"willowsill/transport/store"
)

// sharedStore runs the client of the shared store as the operator's script configures it. Aggregators use the store to share
// replica health and quota usage.
type sharedStore struct {
	start      deployment.Config
	core       *node.Node
	dial       replica.Dial
	count      *counters.Counters
	log        *zap.Logger
	settings   *operator.Settings
	background *background // nil while sharing is off
}

// apply starts, restarts or stops the client to match the settings. On an error nothing has changed.
func (s *sharedStore) apply(o *operator.Settings) error {
	if s.settings != nil && reflect.DeepEqual(s.settings.Store, o.Store) && reflect.DeepEqual(s.settings.Quotas, o.Quotas) {
		s.settings = o
		return nil
	}
	var client *store.Client
	var quotas []sharedhealth.Quota
	var err error
	count := &store.Counters{}
	if o.Store != nil {
		if client, quotas, err = s.newClient(o, count); err != nil {
			return fmt.Errorf("%s: shared_store: %w", o.File, err)
		}
	}
	s.stop()
	s.settings = o
	if client == nil {
		return nil
	}
	s.log.Info("sharing through the store is on", zap.String("address", o.Store.Address))
	s.core.SetSharing(true, quotas)
	s.count.SharedStore.Set(count)
	s.background = startBackground(client.Run)
	return nil
}

// newClient creates a client with the settings, and returns it with the quotas that it shares.
func (s *sharedStore) newClient(o *operator.Settings, count *store.Counters) (*store.Client, []sharedhealth.Quota, error) {
	config := sharedhealth.Config{Name: s.start.Name, Incarnation: uint64(time.Now().UnixNano()), Seed: s.start.Seed,
		RoundInterval: o.Store.RoundInterval, RoundTimeout: o.Store.RoundTimeout, SampleSize: o.Store.SampleSize,
		Aggregators: s.start.Aggregators, BaseEjection: s.start.BaseEjection(), HealthEnabled: o.Store.Health}
	for _, q := range o.Quotas {
		config.Quotas = append(config.Quotas, sharedhealth.Quota(q))
	}
	client, err := store.New(store.Endpoint{Address: o.Store.Address, Database: o.Store.Database, Prefix: o.Store.Prefix,
		User: o.Store.User, PasswordFile: o.Store.PasswordFile, CAFile: o.Store.CAFile,
		ServerName: o.Store.ServerName, Dial: s.dial},
		sharedhealth.New(s.core.Now(), config), s.core, s.core.Now, count, s.log)
	return client, config.Quotas, err
}

// stop ends sharing. Reports of other aggregators that the decision module already holds expire by themselves.
func (s *sharedStore) stop() {
	if s.background == nil {
		return
	}
	s.background.stop()
	s.background = nil
	s.core.SetSharing(false, nil)
	s.count.SharedStore.Set(nil)
	s.log.Info("sharing through the store is off")
}
