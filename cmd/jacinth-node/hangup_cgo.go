//go:build cgo

package main

// Go's packages are initialized for some milliseconds before main can ask for
// SIGHUP. Until then the signal would end the process. If it is ignored when the
// Go runtime starts, it stays ignored until signal.Notify. Without cgo, the
// process can be ended until main has begun.

/*
#include <signal.h>

__attribute__((constructor)) static void ignore_hangup(void) {
	signal(SIGHUP, SIG_IGN);
}
*/
import "C"
