#include <mintknot/base/sha256.hpp>

#include <fmt/format.h>
#include <openssl/evp.h>

#include <array>

namespace mintknot::base {

std::string sha256_hex(std::string_view text) {
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned length = 0;
    EVP_Digest(
        text.data(), text.size(), digest.data(), &length, EVP_sha256(),
        nullptr);
    std::string hex;
    for (unsigned i = 0; i < length; ++i)
        fmt::format_to(std::back_inserter(hex), "{:02x}", digest[i]);
    return hex;
}

} // namespace mintknot::base
