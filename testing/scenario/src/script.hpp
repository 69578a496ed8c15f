/// @file
/// Scenario scripts: one step a line, words and options.
#ifndef MINTKNOT_SCENARIO_SCRIPT_HPP
#define MINTKNOT_SCENARIO_SCRIPT_HPP

#include <absl/status/statusor.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace mintknot::scenario {

/// One line: "send A to entry-1 tokens 50" has the verb "send", the subject
/// "A" and the options to=entry-1, tokens=50.
struct step {
    std::size_t line = 0;
    std::string text;
    std::string verb;
    std::string subject; ///< May be empty.
    std::map<std::string, std::string> options;

    bool has(const std::string& option) const;
    std::string
    text_of(const std::string& option, const std::string& fallback = {}) const;
    std::uint64_t
    number(const std::string& option, std::uint64_t fallback = 0) const;
};

/// Verbs, with the options that each may have. docs/SCENARIOS.md explains them.
struct verb_rule {
    std::string_view name;
    bool needs_subject = false;
    std::vector<std::string_view> options;
    std::vector<std::string_view> flags; ///< Options without a value.
};

const std::vector<verb_rule>& verb_rules();

/// @return the steps, or an error that names the line.
absl::StatusOr<std::vector<step>> parse_script(std::string_view text);

} // namespace mintknot::scenario

#endif
