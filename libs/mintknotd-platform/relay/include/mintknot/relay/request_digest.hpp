/// @file
/// What tells whether two requests are the same one under two IDs.
#ifndef MINTKNOT_RELAY_REQUEST_DIGEST_HPP
#define MINTKNOT_RELAY_REQUEST_DIGEST_HPP

#include <mintknot/http1/message.hpp>

#include <string>
#include <string_view>

namespace mintknot::relay {

/// @return 32 hexadecimal digits for whose request it is, its method, host,
/// target and body; other fields may differ from try to try. Nobody can make a
/// request that has the digest of another's.
std::string request_digest(
    std::string_view organisation, const http1::request_head& head,
    std::string_view body);

} // namespace mintknot::relay

#endif
