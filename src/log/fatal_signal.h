// Logs a signal that ends the process because of a fault of its own, with the place where it occurred.
//
// The handler allocates nothing and takes no lock, as the fault may have occurred inside either.
#ifndef UMBERDYKE_LOG_FATAL_SIGNAL_H_
#define UMBERDYKE_LOG_FATAL_SIGNAL_H_

#include <string>

#include "log/log.h"

namespace umberdyke::log {

// From now on SIGSEGV, SIGBUS, SIGFPE, SIGILL and SIGABRT write the event `fatal-signal` to standard error,
// and end the process as they would without this call. A signal that already has a handler keeps it (a
// sanitizer's, for example). Call it once, from the main thread.
void ReportFatalSignals(Format format, const std::string& instance);

}  // namespace umberdyke::log

#endif  // UMBERDYKE_LOG_FATAL_SIGNAL_H_
