#include <mintknot/engine/event_lines.hpp>

#include <mintknot/base/json_reader.hpp>

#include <nlohmann/json.hpp>

#include <array>

namespace mintknot::engine {

namespace {

using kind = decode_event::kind;

struct kind_name {
    kind what;
    std::string_view name;
};

constexpr std::array kind_names{
    kind_name{kind::imported, "imported"},
    kind_name{kind::progress, "progress"},
    kind_name{kind::token, "token"},
    kind_name{kind::end, "end"},
    kind_name{kind::failed, "failed"},
};

std::optional<kind> kind_from(std::string_view name) {
    for (const kind_name& entry : kind_names)
        if (entry.name == name)
            return entry.what;
    return std::nullopt;
}

std::string_view to_name(kind what) {
    for (const kind_name& entry : kind_names)
        if (entry.what == what)
            return entry.name;
    return "failed";
}

} // namespace

std::string to_line(const decode_event& event) {
    nlohmann::json line{{"event", to_name(event.what)}};
    if (event.what == kind::token) {
        line["offset"] = event.offset;
        line["text"] = event.text;
    }
    if (event.what == kind::failed)
        line["text"] = event.text;
    if (event.what == kind::end)
        line["finish"] =
            event.finish == finish_reason::length ? "length" : "stop";
    return base::to_text(line) + "\n";
}

std::optional<decode_event> parse_line(std::string_view line) {
    const auto document = base::parse_json_or_discard(line);
    if (!document.is_object())
        return std::nullopt;
    const auto what =
        kind_from(base::field_or(document, "event", std::string()));
    if (!what)
        return std::nullopt;
    decode_event event;
    event.what = *what;
    event.offset = base::field_or(document, "offset", std::uint64_t{0});
    event.text = base::field_or(document, "text", std::string());
    if (event.what == kind::end)
        event.finish =
            base::field_or(document, "finish", std::string()) == "length"
                ? finish_reason::length
                : finish_reason::stop;
    return event;
}

std::optional<std::string> line_splitter::next() {
    const auto end = buffer_.find('\n', consumed_);
    if (end == std::string::npos) {
        buffer_.erase(0, consumed_);
        consumed_ = 0;
        return std::nullopt;
    }
    std::string line = buffer_.substr(consumed_, end - consumed_);
    consumed_ = end + 1;
    return line;
}

} // namespace mintknot::engine
