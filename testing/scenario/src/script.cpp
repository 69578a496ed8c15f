#include "script.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <sstream>

namespace mintknot::scenario {

namespace {

absl::Status error_in(const step& where, const std::string& what) {
    return absl::InvalidArgumentError(
        fmt::format("line {}: {}: '{}'", where.line, what, where.text));
}

bool contains(
    const std::vector<std::string_view>& list, const std::string& word) {
    return std::find(list.begin(), list.end(), word) != list.end();
}

/// Splits at blanks; a text in double quotes is one word.
std::vector<std::string> words_of(const std::string& line) {
    std::vector<std::string> words;
    std::istringstream input(line);
    while (input >> std::ws && !input.eof()) {
        std::string word;
        if (input.peek() == '"') {
            input.get();
            std::getline(input, word, '"');
        } else {
            input >> word;
        }
        words.push_back(std::move(word));
    }
    return words;
}

absl::Status read_options(
    step& target, const verb_rule& rule, const std::vector<std::string>& words,
    std::size_t next) {
    while (next < words.size()) {
        const std::string& name = words[next++];
        if (contains(rule.flags, name)) {
            target.options[name] = "yes";
            continue;
        }
        if (!contains(rule.options, name))
            return error_in(target, "unknown word '" + name + "'");
        if (next == words.size())
            return error_in(target, "'" + name + "' needs a value");
        target.options[name] = words[next++];
    }
    return absl::OkStatus();
}

absl::StatusOr<step> parse_line(std::size_t number, const std::string& line) {
    step result;
    result.line = number;
    result.text = line;
    const auto words = words_of(line);
    result.verb = words.front();
    const auto& rules = verb_rules();
    const auto rule =
        std::find_if(rules.begin(), rules.end(), [&](const verb_rule& item) {
            return item.name == result.verb;
        });
    if (rule == rules.end())
        return error_in(result, "unknown verb");
    std::size_t next = 1;
    if (rule->needs_subject) {
        if (words.size() < 2)
            return error_in(result, "the verb needs a name");
        result.subject = words[next++];
    }
    if (auto status = read_options(result, *rule, words, next); !status.ok())
        return status;
    return result;
}

} // namespace

bool step::has(const std::string& option) const {
    return options.contains(option);
}

std::string
step::text_of(const std::string& option, const std::string& fallback) const {
    const auto position = options.find(option);
    return position == options.end() ? fallback : position->second;
}

std::uint64_t
step::number(const std::string& option, std::uint64_t fallback) const {
    const auto position = options.find(option);
    return position == options.end() ? fallback : std::stoull(position->second);
}

const std::vector<verb_rule>& verb_rules() {
    static const std::vector<verb_rule> rules{
        {"system",
         false,
         {"instances", "data_centres", "prefill", "decode", "engine", "desks"}},
        {"setting", true, {"is"}},
        {"kill", true, {}},
        {"stop", true, {}},
        {"pause", true, {}},
        {"continue", true, {}},
        {"start", true, {}},
        {"link", true, {"delay", "after"}, {"cut", "pass", "stall", "drop"}},
        {"store", false, {"lose", "delay"}, {"down", "up"}},
        {"desk", false, {}, {"silent", "answers"}},
        {"drain", true, {}},
        {"send",
         true,
         {"to", "tokens", "prompt", "class", "key", "leave", "deadline"}},
        {"call", true, {"to", "key", "deadline"}},
        {"resume", true, {"of", "at"}},
        {"put", true, {"at", "first_token_ms", "revision"}},
        {"wait", true, {"tokens"}, {"ended"}},
        {"expect",
         true,
         {"code", "verdict", "status", "record", "without", "tokens", "orders",
          "is", "revision"},
         {"whole", "idle", "running", "exited"}},
        {"eventually",
         true,
         {"record", "orders", "revision"},
         {"idle", "exited", "unseen"}},
    };
    return rules;
}

absl::StatusOr<std::vector<step>> parse_script(std::string_view text) {
    std::vector<step> steps;
    std::istringstream lines{std::string(text)};
    std::size_t number = 0;
    for (std::string line; std::getline(lines, line);) {
        ++number;
        line = line.substr(0, line.find('#'));
        if (line.find_first_not_of(" \t\r") == std::string::npos)
            continue;
        auto parsed = parse_line(number, line);
        if (!parsed.ok())
            return parsed.status();
        steps.push_back(*std::move(parsed));
    }
    return steps;
}

} // namespace mintknot::scenario
