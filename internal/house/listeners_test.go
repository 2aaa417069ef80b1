package house

import (
	"go/ast"
	"slices"
	"testing"
)

// listenFunctions are the functions of the package net that open a listener.
var listenFunctions = []string{"Listen", "ListenTCP", "ListenUDP", "ListenPacket", "ListenUnix", "ListenConfig", "ListenAndServe", "ListenAndServeTLS"}

// TestOneWayToListen (FAULT): what serves opens its listeners through transport/listen, so that no second place decides what a held
// port or a lack of descriptors means.
func TestOneWayToListen(t *testing.T) {
	used := false
	for name, source := range loadPackages(t) {
		if within(name, "lab", "standin", "examples", "internal", "review") {
			continue
		}
		for path, file := range source.files {
			if path == "../../cmd/willowsill/demo.go" { // its listeners are stand-ins
				continue
			}
			ast.Inspect(file, func(n ast.Node) bool {
				call, ok := n.(*ast.SelectorExpr)
				if !ok || !slices.Contains(listenFunctions, call.Sel.Name) {
					return true
				}
				p, ok := call.X.(*ast.Ident)
				switch {
				case !ok || p.Name != "net" && p.Name != "http":
				case name == "transport/listen":
					used = true
				default:
					t.Errorf("%s opens a listener by %s.%s", path, p.Name, call.Sel.Name)
				}
				return true
			})
		}
	}
	if !used {
		t.Error("transport/listen opens no listener: the test looks for the wrong calls")
	}
}
