/// @file
/// Releases prefill results on engines that will not be used.
#ifndef MINTKNOT_RELAY_RELEASE_QUEUE_HPP
#define MINTKNOT_RELAY_RELEASE_QUEUE_HPP

#include <mintknot/relay/dialect.hpp>
#include <mintknot/traffic/server_table.hpp>
#include <mintknot/upstream/call.hpp>

#include <cstdint>
#include <string>
#include <unordered_map>

namespace mintknot::relay {

/// Sends each release call once, without retries: an engine discards an unused
/// result by itself after a short time. The number of calls in flight is
/// bounded; results beyond the bound are left to expire.
class release_queue {
public:
    release_queue(upstream::connection_pool& pool, const dialect& protocol);

    void add(const traffic::server& engine, const std::string& handle);

private:
    void finish(std::uint64_t number);

    upstream::connection_pool& pool_;
    const dialect& protocol_;
    std::uint64_t last_number_ = 0;
    std::unordered_map<std::uint64_t, std::unique_ptr<upstream::call>>
        in_flight_;
};

} // namespace mintknot::relay

#endif
