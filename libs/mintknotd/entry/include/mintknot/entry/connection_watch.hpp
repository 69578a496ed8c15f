/// @file
/// Sees that a caller has gone before there is anything to send to it.
#ifndef MINTKNOT_ENTRY_CONNECTION_WATCH_HPP
#define MINTKNOT_ENTRY_CONNECTION_WATCH_HPP

#include <mintknot/base/address.hpp>

namespace mintknot::entry {

/// The HTTP library does not show a handler its socket. While a handler runs,
/// its connection stays open, so the socket can be found by its peer's address
/// among the descriptors of this process.
class connection_watch {
public:
    /// @param caller address and port of the peer. The socket is looked up at
    /// the first call of gone().
    explicit connection_watch(base::address caller);

    /// @return true if the caller has closed the connection.
    bool gone();

private:
    void find_socket();

    base::address caller_;
    bool looked_up_ = false;
    int socket_ = -1;
};

} // namespace mintknot::entry

#endif
