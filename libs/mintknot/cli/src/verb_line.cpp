#include "verb_line.hpp"

#include <mintknot/base/status_text.hpp>

#include <fmt/format.h>

#include <cstdlib>

namespace mintknot::cli {

namespace {

std::string or_environment(const std::string& given, const char* variable) {
    if (!given.empty())
        return given;
    const char* value = std::getenv(variable);
    return value == nullptr ? std::string{} : value;
}

} // namespace

verb_line::verb_line(const std::string& verb, const std::string& purpose)
    : line_(purpose, ' ', "")
    , verb_(verb) {
    // The library's own handler would exit with a code of its own.
    line_.setExceptionHandling(false);
}

void verb_line::add_server() {
    server_.emplace(
        "s", "server",
        "operator address of any instance (or environment "
        "MINTKNOT_SERVER)",
        false, "", "host:port", line_);
    key_.emplace(
        "k", "key", "operator key (or environment MINTKNOT_KEY)", false, "",
        "key", line_);
    output_.emplace(
        "o", "output", "table or json", false, "table", "format", line_);
}

void verb_line::parse(const arguments& given) {
    std::vector<std::string> all{"mintknot " + verb_};
    all.insert(all.end(), given.begin(), given.end());
    line_.parse(all);
}

std::optional<common_options> verb_line::common() {
    common_options options;
    const auto address = base::parse_address(
        or_environment(server_->getValue(), "MINTKNOT_SERVER"));
    if (!address.ok()) {
        fmt::print(stderr, "--server: {}\n", base::text_of(address.status()));
        return std::nullopt;
    }
    const std::string format = output_->getValue();
    if (format != "table" && format != "json") {
        fmt::print(
            stderr, "--output: found '{}', allowed is table or json\n", format);
        return std::nullopt;
    }
    options.server = *address;
    options.key = or_environment(key_->getValue(), "MINTKNOT_KEY");
    options.json = format == "json";
    return options;
}

} // namespace mintknot::cli
