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

// sharedStore switches the shared store on and off as the operator's script says.
type sharedStore struct {
	start      deployment.Config
	core       *node.Node
	dial       replica.Dial
	count      *counters.Counters
	log        *zap.Logger
	orders     *operator.Settings
	background *background // nil while it is off
}

// apply makes what runs what the orders say. With an error nothing has changed.
func (s *sharedStore) apply(o *operator.Settings) error {
	if s.orders != nil && reflect.DeepEqual(s.orders.Store, o.Store) && reflect.DeepEqual(s.orders.Quotas, o.Quotas) {
		s.orders = o
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
	s.orders = o
	if client == nil {
		return nil
	}
	s.log.Info("knowledge is shared through a store", zap.String("address", o.Store.Address))
	s.core.SetSharing(true, quotas)
	s.count.SharedStore.Set(count)
	s.background = startBackground(client.Run)
	return nil
}

// newClient makes what the orders ask for.
func (s *sharedStore) newClient(o *operator.Settings, count *store.Counters) (*store.Client, []sharedhealth.Quota, error) {
	terms := sharedhealth.Config{Name: s.start.Name, Incarnation: uint64(time.Now().UnixNano()), Seed: s.start.Seed,
		RoundInterval: o.Store.RoundInterval, RoundTimeout: o.Store.RoundTimeout, SampleSize: o.Store.SampleSize,
		Aggregators: s.start.Aggregators, BaseEjection: s.start.BaseEjection(), HealthEnabled: o.Store.Health}
	for _, q := range o.Quotas {
		terms.Quotas = append(terms.Quotas, sharedhealth.Quota(q))
	}
	k, err := store.New(store.Endpoint{Address: o.Store.Address, Database: o.Store.Database, Prefix: o.Store.Prefix,
		User: o.Store.User, PasswordFile: o.Store.PasswordFile, CAFile: o.Store.CAFile,
		ServerName: o.Store.ServerName, Dial: s.dial},
		sharedhealth.New(s.core.Now(), terms), s.core, s.core.Now, count, s.log)
	return k, terms.Quotas, err
}

// stop ends sharing; what others said fades from the module by itself.
func (s *sharedStore) stop() {
	if s.background == nil {
		return
	}
	s.background.stop()
	s.background = nil
	s.core.SetSharing(false, nil)
	s.count.SharedStore.Set(nil)
	s.log.Info("knowledge is no longer shared")
}
