/// @file
/// Digest of bearer keys, so that configuration never holds a key itself.
#ifndef MINTKNOT_BASE_SHA256_HPP
#define MINTKNOT_BASE_SHA256_HPP

#include <string>
#include <string_view>

namespace mintknot::base {

/// @return the SHA-256 digest as 64 lower-case hexadecimal digits.
std::string sha256_hex(std::string_view text);

} // namespace mintknot::base

#endif
