/// @file
/// A digest that identifies retries of a request that carry different IDs.
#ifndef MINTKNOT_RELAY_REQUEST_DIGEST_HPP
#define MINTKNOT_RELAY_REQUEST_DIGEST_HPP

#include <mintknot/http1/message.hpp>

#include <string>
#include <string_view>

namespace mintknot::relay {

/// Computes a collision-resistant digest, so that no organisation can craft a
/// request with the digest of another's. Other header fields are left out,
/// because they may differ between retries.
/// @return 32 hexadecimal digits over the organisation, the method, the host,
/// the target and the body.
std::string request_digest(
    std::string_view organisation, const http1::request_head& head,
    std::string_view body);

} // namespace mintknot::relay

#endif
