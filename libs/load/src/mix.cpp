#include <mintknot/load/mix.hpp>

#include <mintknot/base/json_reader.hpp>

#include <fmt/format.h>

#include <fstream>
#include <sstream>

namespace mintknot::load {

namespace {

constexpr double most = 1e6;

mix_part read_part(base::json_reader& reader) {
    mix_part part;
    part.request_class = reader.required_name("class");
    part.key = reader.required_text("key");
    part.share = reader.real("share", part.share, 0, most);
    part.weight = reader.real("weight", part.weight, 0, most);
    part.first_token =
        reader.duration("first_token_ms", part.first_token, {1, 3600000});
    part.per_token =
        reader.duration("per_token_ms", part.per_token, {1, 3600000});
    part.prompt_tokens =
        reader.real("prompt_tokens", part.prompt_tokens, 1, most);
    part.prompt_spread = reader.real("prompt_spread", part.prompt_spread, 0, 3);
    part.output_tokens =
        reader.real("output_tokens", part.output_tokens, 1, most);
    part.output_spread = reader.real("output_spread", part.output_spread, 0, 3);
    part.shared_prefixes = static_cast<std::uint64_t>(
        reader.number("shared_prefixes", 0, {0, 1000000}));
    part.shared_share = reader.real("shared_share", 0, 0, 1);
    part.cancel_share = reader.real("cancel_share", 0, 0, 1);
    return part;
}

} // namespace

absl::StatusOr<mix> parse_mix(std::string_view text) {
    const auto document = base::parse_json(text);
    if (!document.ok())
        return document.status();
    base::json_errors errors;
    base::json_reader reader(*document, "", errors);
    mix result;
    result.name = reader.required_name("name");
    result.model = reader.required_text("model");
    reader.objects("parts", [&](base::json_reader& part) {
        result.parts.push_back(read_part(part));
    });
    if (result.parts.empty())
        reader.reject("parts", "no part", "at least one");
    reader.finish();
    if (auto status = errors.status(); !status.ok())
        return status;
    return result;
}

absl::StatusOr<mix> load_mix(const std::string& file) {
    std::ifstream input(file);
    if (!input)
        return absl::NotFoundError(
            fmt::format("the mix '{}' cannot be read", file));
    std::ostringstream text;
    text << input.rdbuf();
    return parse_mix(text.str());
}

} // namespace mintknot::load
