/// @file
/// One last line of a process that a fatal signal or an exception ends.
#ifndef MINTKNOT_LOGGING_PROCESS_END_LOG_HPP
#define MINTKNOT_LOGGING_PROCESS_END_LOG_HPP

#include <mintknot/build/info.hpp>

#include <absl/status/status.h>

#include <string_view>

namespace mintknot::logging {

/// Writes the line `process_ended` when the process is about to end by SIGABRT,
/// SIGBUS, SIGFPE, SIGILL or SIGSEGV, or by an exception that nothing catches.
/// The line names the signal, its sender if that is another process, the text
/// of the exception, and the build. The process then ends as it would without
/// it.
///
/// The line is bounded, needs no memory, and is left out if the reader of the
/// descriptor has no room for it. What no handler sees, as SIGKILL or a loss of
/// power, leaves no line.
///
/// Call it early, while the process has one thread; a second call replaces the
/// name of the instance.
///
/// @param instance names the process in the line; empty if not known yet.
/// @return Unavailable if a handler cannot be set.
absl::Status log_process_end(
    int descriptor, std::string_view instance, const build::info& build);

} // namespace mintknot::logging

#endif
