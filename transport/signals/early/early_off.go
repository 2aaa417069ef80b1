//go:build !cgo

package early
