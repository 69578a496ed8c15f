#include <mintknot/base/address.hpp>

#include <fmt/format.h>

#include <charconv>

namespace mintknot::base {

namespace {

absl::Status bad_address(std::string_view text) {
    return absl::InvalidArgumentError(
        fmt::format("'{}' is not an address such as 127.0.0.1:8080", text));
}

} // namespace

absl::StatusOr<address> parse_address(std::string_view text) {
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0)
        return bad_address(text);

    std::string_view host = text.substr(0, colon);
    const std::string_view port_text = text.substr(colon + 1);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);

    unsigned port = 0;
    const auto [end, error] = std::from_chars(
        port_text.data(), port_text.data() + port_text.size(), port);
    const bool whole = end == port_text.data() + port_text.size();
    if (error != std::errc{} || !whole || port == 0 || port > 65535)
        return bad_address(text);
    return address{std::string(host), static_cast<std::uint16_t>(port)};
}

std::string to_string(const address& value) {
    if (value.host.find(':') != std::string::npos)
        return fmt::format("[{}]:{}", value.host, value.port);
    return fmt::format("{}:{}", value.host, value.port);
}

} // namespace mintknot::base
