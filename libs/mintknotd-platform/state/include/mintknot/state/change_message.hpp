/// @file
/// How one instance asks another for what that has read from the store.
#ifndef MINTKNOT_STATE_CHANGE_MESSAGE_HPP
#define MINTKNOT_STATE_CHANGE_MESSAGE_HPP

#include <mintknot/state/store.hpp>

#include <absl/status/statusor.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace mintknot::state {

/// Asks for changes behind a version; the answer may be held for a while.
struct change_request {
    collection what = collection::servers;
    std::uint64_t after = 0;
    base::milliseconds wait{0};
};

/// @return path and query of the request.
std::string to_target(const change_request& value);

/// @return nothing if the target is no such request. Waits beyond a few
/// seconds are cut down.
std::optional<change_request> change_request_from(std::string_view target);

/// @return the body of an answer with changes, in MessagePack: documents are
/// texts in JSON, which JSON would escape.
/// @param asked when the request came: the answer tells how long after that it
/// was confirmed, as two instances have no clock in common.
std::string to_body(const store_answer& value, base::steady_time asked = {});

/// @param asked when the request was sent, thus before it came.
/// @return InvalidArgument if the body is malformed; no change is taken then.
/// Older senders do not tell when an answer was confirmed.
absl::StatusOr<store_answer>
store_answer_from(std::string_view body, base::steady_time asked = {});

} // namespace mintknot::state

#endif
