#include <mintknot/relay/crash_guard.hpp>

#include <utility>

namespace mintknot::relay {

request_identity::request_identity(
    std::size_t body_bytes, std::function<std::string()> compute_digest)
    : body_bytes_(body_bytes)
    , compute_digest_(std::move(compute_digest)) {}

const std::string& request_identity::digest() const {
    if (digest_.empty())
        digest_ = compute_digest_();
    return digest_;
}

} // namespace mintknot::relay
