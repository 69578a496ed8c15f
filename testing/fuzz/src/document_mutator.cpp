#include "document_mutator.hpp"

#include <array>
#include <cmath>
#include <limits>
#include <vector>

namespace mintknot::fuzz {

namespace {

using nlohmann::json;

/// Deeper than a stack of 8 MB bears if each level takes 100 bytes.
constexpr std::size_t deep = 200'000;
constexpr std::size_t long_text = 1'000'000;
/// Stands in a document where raw text is put in afterwards.
constexpr const char* mark = "@raw@";
/// One document in so many is broken byte by byte.
constexpr std::size_t documents_for_broken_bytes = 4;
constexpr std::size_t max_byte_changes = 4;
constexpr std::size_t max_part_changes = 3;
/// One changed part in so many is removed.
constexpr std::size_t changes_for_removal = 5;

std::string nested(std::size_t depth, char open, char close) {
    return std::string(depth, open) + std::string(depth, close);
}

std::string nested_objects(std::size_t depth) {
    std::string text;
    for (std::size_t i = 0; i < depth; ++i)
        text += R"({"a":)";
    return text + "1" + std::string(depth, '}');
}

/// Values that JSON text can hold, and some that only look like it.
const std::vector<std::string>& raw_values() {
    static const std::vector<std::string> values = {
        "1e999",
        "-1e999",
        "1e308",
        "-1e308",
        "1e-999",
        "9223372036854775807",
        "9223372036854775808",
        "-9223372036854775809",
        "18446744073709551615",
        "18446744073709551616",
        "4294967296",
        "2147483648",
        "-1",
        "0",
        "-0.0",
        "0.5",
        "1.0",
        "null",
        "true",
        "[]",
        "{}",
        "[[]]",
        "[1,\"a\",null]",
        R"({"a":1,"a":2})",
        R"("")",
        R"("1e999")",
        R"("\ud800")",
        R"("\u0000")",
        R"("a\r\nX-Other: b")",
        "\"\xff\xfe\"",
        "NaN",
        "Infinity",
        "1e",
        "\"",
        "\"" + std::string(long_text, 'a') + "\"",
        nested(60, '[', ']'),
        nested(65, '[', ']'),
        nested(deep, '[', ']'),
        nested_objects(deep),
        std::string(deep, '['),
    };
    return values;
}

/// Values that MessagePack can hold.
json packed_value(std::size_t choice) {
    constexpr double infinity = std::numeric_limits<double>::infinity();
    switch (choice) {
    case 0:
        return infinity;
    case 1:
        return std::nan("");
    case 2:
        return 1e300;
    case 3:
        return -1e300;
    case 4:
        return std::numeric_limits<std::int64_t>::max();
    case 5:
        return std::numeric_limits<std::int64_t>::min();
    case 6:
        return std::numeric_limits<std::uint64_t>::max();
    case 7:
        return -1;
    case 8:
        return 0.5;
    case 9:
        return nullptr;
    case 10:
        return true;
    case 11:
        return "\xff\xfe";
    case 12:
        return json::binary({1, 2, 3});
    case 13:
        return json::array();
    case 14:
        return json::object();
    case 15:
        return std::vector<int>(5000, 0);
    default: {
        json value;
        for (std::size_t i = 0; i < choice; ++i)
            value = json::array({value});
        return value;
    }
    }
}
constexpr std::size_t packed_values = 90;

void collect(json& value, std::vector<json*>& parts) {
    parts.push_back(&value);
    if (value.is_structured())
        for (json& part : value)
            collect(part, parts);
}

} // namespace

document_mutator::document_mutator(std::uint64_t seed)
    : random_(seed) {}

std::size_t document_mutator::draw(std::size_t bound) {
    return std::uniform_int_distribution<std::size_t>(0, bound - 1)(random_);
}

void document_mutator::change_part(json& document, json replacement) {
    std::vector<json*> parts;
    collect(document, parts);
    json& part = *parts[draw(parts.size())];
    if (part.is_structured() && !part.empty() && draw(changes_for_removal) == 0)
        part.erase(std::next(
            part.begin(), static_cast<std::ptrdiff_t>(draw(part.size()))));
    else
        part = std::move(replacement);
}

void document_mutator::change_bytes(std::string& bytes) {
    const std::size_t changes = draw(max_byte_changes) + 1;
    for (std::size_t i = 0; i < changes && !bytes.empty(); ++i) {
        const std::size_t at = draw(bytes.size());
        const auto byte = static_cast<char>(draw(256));
        switch (draw(3)) {
        case 0:
            bytes[at] = byte;
            break;
        case 1:
            bytes.insert(at, draw(8) + 1, byte);
            break;
        default:
            bytes.resize(at);
        }
    }
}

std::string document_mutator::draw_text(const json& valid) {
    json document = valid;
    const std::size_t changes = draw(max_part_changes) + 1;
    for (std::size_t i = 0; i < changes; ++i)
        change_part(document, mark);
    std::string text =
        document.dump(-1, ' ', false, json::error_handler_t::replace);
    const std::string quoted = '"' + std::string(mark) + '"';
    for (std::size_t at = text.find(quoted); at != std::string::npos;
         at = text.find(quoted, at)) {
        const std::string& raw = raw_values()[draw(raw_values().size())];
        text.replace(at, quoted.size(), raw);
        at += raw.size();
    }
    if (draw(documents_for_broken_bytes) == 0)
        change_bytes(text);
    return text;
}

std::string document_mutator::draw_message(const json& valid) {
    json document = valid;
    const std::size_t changes = draw(max_part_changes) + 1;
    for (std::size_t i = 0; i < changes; ++i)
        change_part(document, packed_value(draw(packed_values)));
    const std::vector<std::uint8_t> packed = json::to_msgpack(document);
    std::string bytes(packed.begin(), packed.end());
    if (draw(documents_for_broken_bytes) == 0)
        change_bytes(bytes);
    return bytes;
}

std::string document_mutator::draw_field() {
    constexpr std::array<const char*, 24> values = {
        "",
        "0",
        "-1",
        "1e999",
        "-1e999",
        "inf",
        "nan",
        "1e308",
        "1e-400",
        "18446744073709551616",
        "18446744073709551615",
        "9223372036854775808",
        "1,",
        ",",
        ",,,",
        "inf,nan",
        "1e308,1e308",
        "-5,-5",
        "0x10",
        " 7 ",
        "7 8",
        "Sun, 31 Dec 9999 23:59:59 GMT",
        "Mon, 00 Jan 0000 00:00:00 GMT",
        "a:b:c,:,::"};
    if (draw(documents_for_broken_bytes) > 0)
        return values[draw(values.size())];
    std::string bytes = values[draw(values.size())];
    bytes += std::string(draw(20), '9');
    change_bytes(bytes);
    return bytes;
}

} // namespace mintknot::fuzz
