#include <mintknot/base/json_parser.hpp>

#include <fmt/format.h>

#include <cmath>
#include <utility>
#include <vector>

namespace mintknot::base {

namespace {

using nlohmann::json;

/// The ID of the JSON library's error for a number beyond a double's range.
constexpr int number_out_of_range = 406;

/// Builds a value from the events of the JSON library's parsers. Unlike the
/// library's own builder it bounds the depth and does not throw.
class bounded_builder final : public nlohmann::json_sax<json> {
public:
    json take() { return std::move(root_); }

    absl::Status error() const { return absl::InvalidArgumentError(error_); }

    bool null() override { return add(nullptr); }
    bool boolean(bool value) override { return add(value); }
    bool number_integer(number_integer_t value) override { return add(value); }
    bool number_unsigned(number_unsigned_t value) override {
        return add(value);
    }
    bool number_float(number_float_t value, const string_t&) override {
        if (!std::isfinite(value)) {
            error_ = "a number is not finite";
            return false;
        }
        return add(value);
    }
    bool string(string_t& value) override { return add(std::move(value)); }
    bool binary(binary_t& value) override { return add(std::move(value)); }

    bool start_object(std::size_t) override { return open(json::object()); }
    bool key(string_t& name) override {
        slot_ = &(*open_.back())[name];
        return true;
    }
    bool end_object() override { return close(); }
    bool start_array(std::size_t) override { return open(json::array()); }
    bool end_array() override { return close(); }

    bool parse_error(
        std::size_t position, const std::string&,
        const json::exception& why) override {
        error_ =
            why.id == number_out_of_range
                ? fmt::format("a number is out of range at byte {}", position)
                : fmt::format("parsing stopped at byte {}", position);
        return false;
    }

private:
    /// @return where the next value belongs.
    json* place(json value) {
        if (open_.empty()) {
            root_ = std::move(value);
            return &root_;
        }
        if (open_.back()->is_array()) {
            open_.back()->push_back(std::move(value));
            return &open_.back()->back();
        }
        *slot_ = std::move(value);
        return slot_;
    }

    bool add(json value) {
        place(std::move(value));
        return true;
    }

    bool open(json container) {
        if (open_.size() == max_json_depth) {
            error_ = fmt::format("nested deeper than {}", max_json_depth);
            return false;
        }
        open_.push_back(place(std::move(container)));
        return true;
    }

    bool close() {
        open_.pop_back();
        return true;
    }

    json root_;
    std::vector<json*> open_; ///< Arrays and objects, from the outermost on.
    json* slot_ = nullptr;    ///< Of the latest key of the innermost object.
    std::string error_;
};

absl::StatusOr<json>
parse(std::string_view bytes, json::input_format_t format) {
    bounded_builder builder;
    if (!json::sax_parse(bytes.begin(), bytes.end(), &builder, format))
        return builder.error();
    return builder.take();
}

} // namespace

absl::StatusOr<json> parse_json(std::string_view text) {
    auto value = parse(text, json::input_format_t::json);
    if (!value.ok())
        return absl::InvalidArgumentError(
            fmt::format("not JSON: {}", std::string(value.status().message())));
    return value;
}

absl::StatusOr<json> parse_message_pack(std::string_view bytes) {
    return parse(bytes, json::input_format_t::msgpack);
}

json parse_json_or_discard(std::string_view text) {
    auto value = parse_json(text);
    return value.ok() ? *std::move(value) : json(json::value_t::discarded);
}

std::string to_text(const json& value) {
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace mintknot::base
