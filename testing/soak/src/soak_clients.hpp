/// @file
/// Callers of a soak.
#ifndef MINTKNOT_SOAK_SOAK_CLIENTS_HPP
#define MINTKNOT_SOAK_SOAK_CLIENTS_HPP

#include "connection_skews.hpp"
#include "soak_checks.hpp"

#include <mintknot/base/address.hpp>
#include <mintknot/event/loop.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace mintknot::soak {

/// Open-loop callers: each sends a request of a random kind to a random
/// instance now and then, on connections that it keeps while they last. Some
/// leave before they have their answer.
class soak_clients {
public:
    soak_clients(
        event::loop& owner, std::vector<base::address> entries,
        std::uint64_t seed);
    ~soak_clients();
    soak_clients(const soak_clients&) = delete;
    soak_clients& operator=(const soak_clients&) = delete;

    void start(std::size_t callers, base::milliseconds pause);
    /// From now on callers take up resumable streams that break, at any
    /// instance.
    void take_up_streams();
    /// Every second request is of HTTP/1.0 from now on.
    void use_both_versions();
    /// Requests whose first attempt is not read are sent once more, to another
    /// instance.
    void try_again_elsewhere();
    /// From now on each request of the load has a connection of its own, and
    /// most go to the instances of the skew.
    void begin_skew(const connection_skew& skew);
    void end_skew();
    /// No request begins any more; those under way go on.
    void stop();
    std::size_t open() const;
    const std::vector<caller_record>& records() const;

    /// Asks for a path that is no part of the load. @param on_status told of
    /// the answer's status, 0 if there is none.
    void probe(
        const std::string& path, std::size_t entry,
        std::function<void(int)> on_status);

    /// Sends one request. @param on_record told of its end.
    void send(
        request_kind kind, std::size_t entry,
        std::function<void(const caller_record&)> on_record);
    /// Sends one request that crashes each server that runs it; it counts among
    /// the records. @param mark begins with "crash".
    void send_crashing(
        request_kind kind, std::size_t entry, const std::string& mark);
    /// Sends one request, unlike all others, with a part in its prompt that
    /// crashes each engine that begins to answer it.
    /// @param part begins with "bad".
    void send_crashing_part(
        request_kind kind, std::size_t entry, const std::string& part);

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace mintknot::soak

#endif
