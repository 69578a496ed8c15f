/// @file
/// Whether a log line can be written without waiting for its reader.
#ifndef MINTKNOT_LOGGING_PIPE_ROOM_HPP
#define MINTKNOT_LOGGING_PIPE_ROOM_HPP

#include <poll.h>

namespace mintknot::logging {

/// May be called in a signal handler.
/// @return true if the descriptor takes a line of up to a page at once.
inline bool has_room(int descriptor) noexcept {
    pollfd state{descriptor, POLLOUT, 0};
    return ::poll(&state, 1, 0) == 1 && (state.revents & POLLOUT) != 0;
}

} // namespace mintknot::logging

#endif
