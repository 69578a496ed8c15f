/// @file
/// Open-loop arrivals, the same for the same seed.
#ifndef MINTKNOT_LOAD_ARRIVALS_HPP
#define MINTKNOT_LOAD_ARRIVALS_HPP

#include <mintknot/load/mix.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace mintknot::load {

/// One request that will be sent at its time, whatever became of the others.
struct arrival {
    base::microseconds at{0}; ///< After the start.
    std::size_t part = 0;     ///< Index in the mix.
    std::string prompt;
    std::uint64_t max_tokens = 1;
    /// The caller leaves after so many tokens; 0: it stays.
    std::uint64_t leave_after = 0;
};

struct arrival_options {
    double per_second = 1.0;
    std::chrono::seconds duration{10};
    std::uint64_t seed = 1;
};

/// @return arrivals of a Poisson process, in the order of their times.
std::vector<arrival>
make_arrivals(const mix& source, const arrival_options& options);

} // namespace mintknot::load

#endif
