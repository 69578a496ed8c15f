/// @file
/// Request IDs: they name the instance that holds the request.
#ifndef MINTKNOT_BASE_REQUEST_ID_HPP
#define MINTKNOT_BASE_REQUEST_ID_HPP

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace mintknot::base {

/// One run of an instance. A restarted instance has a larger incarnation.
struct instance_id {
    std::string data_centre;
    std::string name;
    std::uint64_t incarnation = 0; ///< Milliseconds since the epoch at start.

    bool operator==(const instance_id&) const = default;
};

/// Written as "dc1.entry-1.19363f2c0a1.5f0c...": data centre, instance,
/// incarnation (hexadecimal) and 64 random bits.
struct request_id {
    instance_id holder;
    std::string random; ///< 16 hexadecimal digits.

    bool operator==(const request_id&) const = default;
};

/// @return true if the text may name an instance or a data centre: letters,
/// digits and '-', 1 to 63 of them.
bool is_valid_name(std::string_view text) noexcept;

/// @return a new ID held by the given instance.
request_id make_request_id(const instance_id& holder);

std::string to_string(const request_id& id);
std::string to_string(const instance_id& id);

/// @return InvalidArgument if the text is not a request ID.
absl::StatusOr<request_id> parse_request_id(std::string_view text);

/// @return InvalidArgument if the text is not "dc.name.incarnation".
absl::StatusOr<instance_id> parse_instance_id(std::string_view text);

} // namespace mintknot::base

#endif
