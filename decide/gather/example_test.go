package gather_test

import (
	"fmt"

	"willowsill/decide/gather"
)

// The two greatest records of two parts. The rest of the second part is shorter than a record and is ignored.
func ExampleGreatest() {
	parts := [][]byte{[]byte("aaaaaaaaaaaaaaaazzzzzzzzzzzzzzzz"), []byte("mmmmmmmmmmmmmmmmrest")}
	fmt.Println(string(gather.Greatest(parts, 2)))
	// Output: zzzzzzzzzzzzzzzzmmmmmmmmmmmmmmmm
}
