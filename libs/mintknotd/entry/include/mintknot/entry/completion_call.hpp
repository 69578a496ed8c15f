/// @file
/// A checked call of the completion interface.
#ifndef MINTKNOT_ENTRY_COMPLETION_CALL_HPP
#define MINTKNOT_ENTRY_COMPLETION_CALL_HPP

#include <mintknot/base/request_id.hpp>
#include <mintknot/base/time.hpp>
#include <mintknot/config/specs.hpp>

#include <cstdint>
#include <string>

namespace mintknot::entry {

/// Everything a request needs; immutable once it runs.
struct completion_call {
    base::request_id id;
    std::string organisation;
    std::string class_name;
    config::request_class_spec request_class;
    std::string service;
    std::string model;
    std::string prompt;
    std::uint64_t max_tokens = 16;
    bool stream = false;
    std::string idempotency_key;
    base::steady_time deadline;
};

} // namespace mintknot::entry

#endif
