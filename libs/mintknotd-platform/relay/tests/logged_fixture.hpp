/// @file
/// Test fixture: a router whose log lines can be read.
#ifndef MINTKNOT_RELAY_TESTS_LOGGED_FIXTURE_HPP
#define MINTKNOT_RELAY_TESTS_LOGGED_FIXTURE_HPP

#include "relay_fixture.hpp"

#include <nlohmann/json.hpp>

#include <cstdio>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace mintknot::relay::tests {

/// A router with its log in a file.
struct logged_fixture {
    std::unique_ptr<std::FILE, int (*)(std::FILE*)> file{
        std::tmpfile(), std::fclose};
    relay_fixture router{::fileno(file.get())};

    /// @return the lines of an event so far, oldest first.
    std::vector<nlohmann::json> lines_of(std::string_view event) const {
        std::vector<nlohmann::json> found;
        std::string text;
        std::rewind(file.get());
        for (int c = std::fgetc(file.get()); c != EOF;
             c = std::fgetc(file.get())) {
            if (c != '\n') {
                text += static_cast<char>(c);
                continue;
            }
            nlohmann::json line = nlohmann::json::parse(text);
            text.clear();
            if (line.at("event") == event)
                found.push_back(std::move(line));
        }
        return found;
    }
};

} // namespace mintknot::relay::tests

#endif
