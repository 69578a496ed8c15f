#include <mintknot/base/request_id.hpp>

#include <mintknot/base/random.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <vector>

namespace mintknot::base {

namespace {

constexpr std::size_t max_name_length = 63;
constexpr std::size_t random_length = 16;
constexpr int hexadecimal = 16;

std::vector<std::string_view> split_at_dots(std::string_view text) {
    std::vector<std::string_view> parts;
    std::size_t begin = 0;
    while (true) {
        const auto dot = text.find('.', begin);
        parts.push_back(text.substr(begin, dot - begin));
        if (dot == std::string_view::npos)
            return parts;
        begin = dot + 1;
    }
}

absl::StatusOr<instance_id> parse_parts(
    std::string_view data_centre, std::string_view name,
    std::string_view incarnation) {
    std::uint64_t number = 0;
    const char* last = incarnation.data() + incarnation.size();
    const auto [end, error] =
        std::from_chars(incarnation.data(), last, number, hexadecimal);
    const bool parsed = error == std::errc{} && end == last;
    if (!parsed || !is_valid_name(data_centre) || !is_valid_name(name))
        return absl::InvalidArgumentError("not the ID of an instance");
    return instance_id{std::string(data_centre), std::string(name), number};
}

} // namespace

bool is_valid_name(std::string_view text) noexcept {
    const auto allowed = [](unsigned char letter) {
        return std::isalnum(letter) != 0 || letter == '-';
    };
    return !text.empty() && text.size() <= max_name_length &&
           std::all_of(text.begin(), text.end(), allowed);
}

request_id make_request_id(const instance_id& holder) {
    return request_id{holder, random_token()};
}

std::string to_string(const instance_id& id) {
    return fmt::format("{}.{}.{:x}", id.data_centre, id.name, id.incarnation);
}

std::string to_string(const request_id& id) {
    return fmt::format("{}.{}", to_string(id.holder), id.random);
}

absl::StatusOr<instance_id> parse_instance_id(std::string_view text) {
    const auto parts = split_at_dots(text);
    if (parts.size() != 3)
        return absl::InvalidArgumentError("not the ID of an instance");
    return parse_parts(parts[0], parts[1], parts[2]);
}

absl::StatusOr<request_id> parse_request_id(std::string_view text) {
    const auto parts = split_at_dots(text);
    if (parts.size() != 4 || parts[3].size() != random_length)
        return absl::InvalidArgumentError("not a request ID");
    auto holder = parse_parts(parts[0], parts[1], parts[2]);
    if (!holder.ok())
        return absl::InvalidArgumentError("not a request ID");
    return request_id{*std::move(holder), std::string(parts[3])};
}

} // namespace mintknot::base
