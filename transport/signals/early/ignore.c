#include <signal.h>

// The Go runtime leaves an ignored SIGHUP ignored until os/signal is asked to notify of it.
__attribute__((constructor)) static void ignore_hangup(void) {
	signal(SIGHUP, SIG_IGN);
}
