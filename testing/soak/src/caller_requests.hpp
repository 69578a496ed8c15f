/// @file
/// What callers of a soak send, and what they read from answers.
#ifndef MINTKNOT_SOAK_CALLER_REQUESTS_HPP
#define MINTKNOT_SOAK_CALLER_REQUESTS_HPP

#include "soak_checks.hpp"

#include <mintknot/http1/message.hpp>

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace mintknot::soak {

/// Documents that prompts share.
inline constexpr std::size_t shared_documents = 5;

std::string_view path_of(request_kind kind);

/// @return true if the request has a prompt.
bool is_generation(request_kind kind);

/// @return the header fields of a request. @param document in its prompt.
/// @param own number of the part that is its own.
http1::field_list
fields_of(const caller_record& record, std::size_t document, std::uint64_t own);

/// @return the time that a Retry-After field names; zero: none.
base::milliseconds retry_after_of(const http1::response_head& head);

/// @return the number of the last event that the caller has.
int last_event_of(const caller_record& record);

/// @return true if the caller has events of a stream that has not ended.
bool is_broken_stream(const caller_record& record);

} // namespace mintknot::soak

#endif
