/// @file
/// The ways a call can take: through mintknot, or straight to engines.
#ifndef MINTKNOT_LOAD_CALL_PATH_HPP
#define MINTKNOT_LOAD_CALL_PATH_HPP

#include <mintknot/base/address.hpp>
#include <mintknot/load/arrivals.hpp>
#include <mintknot/load/call_record.hpp>

#include <memory>
#include <string>
#include <vector>

namespace mintknot::load {

/// Sends one call and waits for its end. Safe from every thread.
class call_path {
public:
    call_path() = default;
    call_path(const call_path&) = delete;
    call_path& operator=(const call_path&) = delete;
    virtual ~call_path() = default;

    virtual call_record send(const mix_part& part, const arrival& call) = 0;
};

/// Calls of mintknot, spread over its instances in turn as a balancer does.
std::unique_ptr<call_path>
through_router(std::vector<base::address> instances, std::string model);

/// Calls of engines without mintknot: prefill and decode in turn, the
/// baseline for the time that mintknot adds.
std::unique_ptr<call_path> straight_to_engines(
    std::vector<base::address> prefill, std::vector<base::address> decode,
    std::string model);

} // namespace mintknot::load

#endif
