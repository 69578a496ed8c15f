#include <mintknot/relay/request_digest.hpp>

#include <mintknot/base/sha256.hpp>

namespace mintknot::relay {

namespace {

constexpr std::size_t digest_digits = 32;

/// Appends the part with its length in front, so that different sequences of
/// parts never give the same text.
void append_with_length(std::string& text, std::string_view part) {
    text += std::to_string(part.size());
    text += ':';
    text += part;
}

} // namespace

std::string request_digest(
    std::string_view organisation, const http1::request_head& head,
    std::string_view body) {
    const std::string* host = http1::find_field(head.fields, "Host");
    std::string text;
    append_with_length(text, organisation);
    append_with_length(text, head.method);
    append_with_length(text, host == nullptr ? std::string_view{} : *host);
    append_with_length(text, head.target);
    text += base::sha256_hex(body);
    return base::sha256_hex(text).substr(0, digest_digits);
}

} // namespace mintknot::relay
