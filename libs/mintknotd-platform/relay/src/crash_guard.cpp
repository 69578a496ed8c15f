#include <mintknot/relay/crash_guard.hpp>

#include <mintknot/base/sha256.hpp>

#include <algorithm>
#include <utility>

namespace mintknot::relay {

namespace {

/// Bounds of what a caller may make reports of crashes carry.
constexpr std::size_t max_shared_parts = 16;
constexpr std::size_t max_name_bytes = 48;
/// Of the digest that stands for a longer name.
constexpr std::size_t digest_digits = 32;

} // namespace

request_identity::request_identity(
    std::size_t body_bytes, std::function<std::string()> compute_digest,
    policy::prompt_parts parts)
    : body_bytes_(body_bytes)
    , compute_digest_(std::move(compute_digest))
    , parts_(std::move(parts)) {}

const std::string& request_identity::digest() const {
    if (digest_.empty())
        digest_ = compute_digest_();
    return digest_;
}

policy::prompt_parts
shared_parts(const std::string& service, const std::vector<std::string>& ids) {
    policy::prompt_parts parts;
    if (ids.empty())
        return parts;
    const std::size_t shared = std::min(ids.size() - 1, max_shared_parts);
    for (std::size_t i = 0; i < shared; ++i) {
        const std::string name = service + "/" + ids[i];
        parts.insert(
            name.size() <= max_name_bytes
                ? name
                : base::sha256_hex(name).substr(0, digest_digits));
    }
    return parts;
}

} // namespace mintknot::relay
