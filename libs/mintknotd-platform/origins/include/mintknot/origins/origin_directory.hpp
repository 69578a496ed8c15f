/// @file
/// Remembers, with other instances, which software version began each stream.
#ifndef MINTKNOT_ORIGINS_ORIGIN_DIRECTORY_HPP
#define MINTKNOT_ORIGINS_ORIGIN_DIRECTORY_HPP

#include <mintknot/relay/router_state.hpp>
#include <mintknot/relay/stream_origins.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mintknot::origins {

/// Callbacks through which origin_directory reaches other instances.
struct origin_callbacks {
    /// Sends a datagram to the instance on that host.
    std::function<void(const std::string& host, const std::string& datagram)>
        send;
    /// @return the other instances that may remember streams: those whose
    /// heartbeats are received and which do not stop.
    std::function<std::vector<policy::instance_location>()> members;
    /// @return the only version that the service has had for as long as a
    /// stream may live; see policy::only_version().
    std::function<std::optional<std::string>(const std::string& service)>
        only_version;
};

/// Counts since the start, for metrics.
struct origin_counters {
    std::uint64_t told = 0;     ///< Beginnings told to other instances.
    std::uint64_t asked = 0;    ///< Streams that others were asked for.
    std::uint64_t answered = 0; ///< Questions of others that were answered.
};

/// Tells three other instances of each beginning, and asks six for a stream
/// that is not known here (policy/stream_origin.hpp). Nothing is stored: what
/// all of these instances forget is lost.
///
/// Used only on the event loop's thread. The router and everything that the
/// callbacks refer to must outlive it.
class origin_directory final : public relay::stream_origins {
public:
    origin_directory(relay::router_context& router, origin_callbacks callbacks);
    ~origin_directory() override;
    origin_directory(const origin_directory&) = delete;
    origin_directory& operator=(const origin_directory&) = delete;

    void note_begun(
        const relay::stream_identity& stream, const std::string& version,
        base::milliseconds life) override;
    std::unique_ptr<relay::ticket> find(
        const relay::stream_identity& stream,
        relay::origin_handler then) override;

    /// @return false if the datagram is not about beginnings of streams.
    bool receive(const std::string& host, std::string_view datagram);

    const origin_counters& counters() const;
    /// @return the beginnings that are remembered here.
    const policy::origin_table& table() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace mintknot::origins

#endif
