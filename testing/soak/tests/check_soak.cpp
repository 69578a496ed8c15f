#include "check_soak.hpp"

#include <criterion/criterion.h>
#include <fmt/format.h>

namespace mintknot::soak {

void check_soak(const soak_options& options) {
    const soak_result result = run_soak(options);
    for (const std::string& served : result.served_during_cuts)
        fmt::print("seed {}: {}\n", options.seed, served);
    for (const std::string& served : result.served_during_skews)
        fmt::print("seed {}: {}\n", options.seed, served);
    for (const std::string& part : result.parts)
        fmt::print("seed {}: {}\n", options.seed, part);
    if (!result.versions.empty())
        fmt::print("seed {}: versions: {}\n", options.seed, result.versions);
    for (const std::string& broken : result.broken)
        fmt::print(
            "seed {}: {} (logs: {})\n", options.seed, broken, result.logs);
    if (!result.broken.empty()) {
        for (const std::string& fault : result.faults)
            fmt::print("  {}\n", fault);
        for (const std::string& cut : result.cuts)
            fmt::print("  {}\n", cut);
    }
    cr_assert(result.broken.empty());
    cr_assert(result.answered > 0);
}

} // namespace mintknot::soak
