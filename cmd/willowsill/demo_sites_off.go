//go:build platform

package main

import (
	"context"
	"errors"
	"time"
)

func demonstrateSites(context.Context, time.Duration) ([]phase, error) {
	return nil, errors.New("this build has no gateway")
}
