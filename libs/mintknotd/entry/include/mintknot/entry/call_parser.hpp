/// @file
/// Checks of what callers send.
#ifndef MINTKNOT_ENTRY_CALL_PARSER_HPP
#define MINTKNOT_ENTRY_CALL_PARSER_HPP

#include <mintknot/base/refusal.hpp>
#include <mintknot/config/catalogue.hpp>
#include <mintknot/entry/completion_call.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace mintknot::entry {

/// The headers that mintknot reads; empty: not sent.
struct caller_headers {
    std::string authorization;
    std::string request_class;
    std::string idempotency_key;
    std::string deadline_ms;
};

/// Who calls, in which class, and until when.
struct caller_identity {
    config::entry_ptr<config::organisation_spec> organisation;
    std::string class_name;
    config::request_class_spec request_class;
    std::string idempotency_key;
    base::milliseconds deadline{0}; ///< The caller's or the class's, if nearer.
};

/// Name of the class of calls without a class header. If it is not
/// configured, the defaults of request_class_spec apply.
inline constexpr std::string_view default_class = "default";

base::outcome<caller_identity>
identify(const config::catalogue& current, const caller_headers& headers);

/// Checks a completion body. The ID is left to the caller of this function.
base::outcome<completion_call> parse_completion(
    const config::catalogue& current, const caller_identity& caller,
    std::string_view body);

/// Parses a Last-Event-ID header or nothing.
/// @return the offset of the first token that is still wanted.
base::outcome<std::uint64_t> parse_offset(std::string_view text);

} // namespace mintknot::entry

#endif
