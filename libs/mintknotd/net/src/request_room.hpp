/// @file
/// What the requests on a listener hold together, and who gives way.
#ifndef MINTKNOT_NET_REQUEST_ROOM_HPP
#define MINTKNOT_NET_REQUEST_ROOM_HPP

#include <mintknot/base/time.hpp>

#include <atomic>
#include <cstddef>

namespace mintknot::net {

/// How a request that is being read has come along.
struct request_progress {
    base::milliseconds silent{0}; ///< Since its last bytes.
    base::milliseconds age{0};    ///< Since its first bytes.
};

/// @return true if a request gives way while others want for room or for a
/// connection: it has come to a stop, or takes long.
bool gives_way(const request_progress& progress);

/// The account of all requests on one listener.
///
/// Thread: all functions may be called from any thread.
class request_room {
public:
    explicit request_room(std::size_t most_bytes) noexcept
        : most_bytes_(most_bytes) {}

    /// Adds bytes to those that a request holds. @return false, with nothing
    /// added, if there is no room.
    bool take(std::size_t held, std::size_t more, base::steady_time now);
    void give_back(std::size_t bytes) { held_ -= bytes; }

    void connection_waits(base::steady_time now);
    void connection_is_served() { --waiting_; }

    /// @return true if a connection has waited to be served for a moment.
    bool connections_wait(base::steady_time now) const;
    /// @return true if one has, or a request was refused lately.
    bool is_short(base::steady_time now) const;

private:
    const std::size_t most_bytes_;
    std::atomic<std::size_t> held_{0};
    std::atomic<std::size_t> waiting_{0};
    /// Since when any has waited; valid while some do.
    std::atomic<base::steady_time> waiting_since_{base::steady_time{}};
    std::atomic<base::steady_time> last_refusal_{base::steady_time::min()};
};

} // namespace mintknot::net

#endif
