// scenario: runs scripts of the scenario language (docs/SCENARIOS.md).
#include "scenario_run.hpp"

#include <mintknot/base/status_text.hpp>

#include <fmt/format.h>

#include <fstream>
#include <sstream>

using namespace mintknot;

namespace {

/// @return true if the script held.
bool run_file(const std::string& file) {
    std::ifstream input(file);
    std::ostringstream text;
    text << input.rdbuf();
    const auto steps = scenario::parse_script(text.str());
    if (!input || !steps.ok()) {
        fmt::print(
            stderr, "{}: {}\n", file,
            input ? base::text_of(steps.status()) : "cannot be read");
        return false;
    }
    const std::string failure = scenario::run_script(*steps);
    fmt::print("{}: {}\n", file, failure.empty() ? "holds" : "FAILS");
    if (!failure.empty())
        fmt::print("{}\n", failure);
    return failure.empty();
}

} // namespace

int main(int argc, char** argv) {
    int passed = 0;
    int failed = 0;
    for (int i = 1; i < argc; ++i)
        ++(run_file(argv[i]) ? passed : failed);
    fmt::print("{} passed, {} failed\n", passed, failed);
    return failed == 0 && passed > 0 ? 0 : 1;
}
