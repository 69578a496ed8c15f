#include <mintknot/http1/message.hpp>

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <array>

namespace mintknot::http1 {

namespace {

constexpr std::array<std::string_view, 9> hop_fields = {
    "Connection",         "Keep-Alive", "Proxy-Connection",
    "Proxy-Authenticate", "TE",         "Trailer",
    "Transfer-Encoding",  "Upgrade",    "Content-Length"};

absl::string_view view(std::string_view text) {
    return {text.data(), text.size()};
}

} // namespace

bool same_name(std::string_view left, std::string_view right) noexcept {
    return absl::EqualsIgnoreCase(view(left), view(right));
}

const std::string* find_field(const field_list& fields, std::string_view name) {
    for (const field& entry : fields)
        if (same_name(entry.name, name))
            return &entry.value;
    return nullptr;
}

std::size_t held_bytes(const field_list& fields) noexcept {
    std::size_t bytes = fields.capacity() * sizeof(field);
    for (const field& entry : fields)
        bytes += entry.name.size() + entry.value.size();
    return bytes;
}

std::optional<std::uint64_t>
find_number(const field_list& fields, std::string_view name) {
    const std::string* text = find_field(fields, name);
    std::uint64_t number = 0;
    if (text == nullptr || !absl::SimpleAtoi(*text, &number))
        return std::nullopt;
    return number;
}

bool is_field_text(std::string_view text) noexcept {
    return std::none_of(text.begin(), text.end(), [](char letter) {
        return absl::ascii_iscntrl(static_cast<unsigned char>(letter));
    });
}

void erase_fields(field_list& fields, std::string_view name) {
    std::erase_if(fields, [name](const field& entry) {
        return same_name(entry.name, name);
    });
}

void erase_hop_fields(field_list& fields) {
    std::vector<std::string> named;
    for (const field& entry : fields) {
        if (!same_name(entry.name, "Connection"))
            continue;
        for (absl::string_view item : absl::StrSplit(entry.value, ','))
            named.emplace_back(absl::StripAsciiWhitespace(item));
    }
    for (const std::string& name : named)
        erase_fields(fields, name);
    for (std::string_view name : hop_fields)
        erase_fields(fields, name);
}

} // namespace mintknot::http1
