#include <mintknot/relay/crash_guard.hpp>

#include <utility>

namespace mintknot::relay {

request_identity::request_identity(
    std::size_t body_bytes, std::function<std::string()> make)
    : body_bytes_(body_bytes)
    , make_(std::move(make)) {}

const std::string& request_identity::digest() const {
    if (digest_.empty())
        digest_ = make_();
    return digest_;
}

} // namespace mintknot::relay
