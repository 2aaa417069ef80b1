//go:build linux

// Package refusals makes the kernel refuse system calls of this process for good, as a machine does that has no such option or does
// not permit the call. Tests use it in the processes that they start.
package refusals

import (
	"encoding/binary"
	"fmt"
	"os"
	"strings"
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"
)

// Variable is the environment variable that holds what the kernel refuses a process, as String writes it.
const Variable = "WILLOWSILL_TEST_REFUSAL"

// Refusal is a system call that fails with an error number. With an Option it is a socket option of TCP, and other options are
// set as ever.
type Refusal struct {
	Call   string
	Error  syscall.Errno
	Option uint32 // 0 for all calls
}

func (r Refusal) String() string { return fmt.Sprintf("%s:%d:%d", r.Call, uint(r.Error), r.Option) }

// numbers are the calls that can be refused.
var numbers = map[string]uint32{"socket": unix.SYS_SOCKET, "bind": unix.SYS_BIND, "listen": unix.SYS_LISTEN, "setsockopt": unix.SYS_SETSOCKOPT}

// Offsets in the kernel's struct seccomp_data: the number of the call, and the lower halves of its second and third arguments.
const (
	numberOffset = 0
	levelOffset  = 24
	optionOffset = 32
)

// ApplyFromEnvironment applies the refusal that the environment names, if any. It panics if the kernel does not accept it.
func ApplyFromEnvironment() {
	text := os.Getenv(Variable)
	if text == "" {
		return
	}
	var r Refusal
	var number uint
	if _, err := fmt.Sscanf(strings.ReplaceAll(text, ":", " "), "%s %d %d", &r.Call, &number, &r.Option); err != nil {
		panic(err)
	}
	r.Error = syscall.Errno(number)
	if err := r.apply(); err != nil {
		panic(err)
	}
}

// apply installs a filter for all threads of the process.
func (r Refusal) apply() error {
	number, known := numbers[r.Call]
	if !known {
		return fmt.Errorf("the call %q is unknown", r.Call)
	}
	program := r.program(number)
	if err := unix.Prctl(unix.PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0); err != nil {
		return err
	}
	filter := unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]}
	_, _, failure := unix.Syscall(unix.SYS_SECCOMP, unix.SECCOMP_SET_MODE_FILTER, unix.SECCOMP_FILTER_FLAG_TSYNC, uintptr(unsafe.Pointer(&filter)))
	if failure != 0 {
		return failure
	}
	return nil
}

// program returns the filter: it allows a call as soon as one of its conditions does not hold, and refuses it at the end.
func (r Refusal) program(number uint32) (program []unix.SockFilter) {
	type condition struct{ offset, value uint32 }
	conditions := []condition{{numberOffset, number}}
	if r.Option > 0 {
		conditions = append(conditions, condition{levelOffset, unix.IPPROTO_TCP}, condition{optionOffset, r.Option})
	}
	for _, c := range conditions {
		program = append(program,
			unix.SockFilter{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, K: littleEndian(c.offset)},
			unix.SockFilter{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, Jt: 1, K: c.value},
			unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: unix.SECCOMP_RET_ALLOW})
	}
	return append(program, unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: unix.SECCOMP_RET_ERRNO | uint32(r.Error)})
}

// littleEndian returns the offset of the lower half of an argument, which differs by the machine's byte order.
func littleEndian(offset uint32) uint32 {
	if offset != numberOffset && binary.NativeEndian.Uint16([]byte{1, 0}) != 1 {
		return offset + 4
	}
	return offset
}
