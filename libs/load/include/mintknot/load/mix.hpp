/// @file
/// A mix of requests: what one user's callers send.
#ifndef MINTKNOT_LOAD_MIX_HPP
#define MINTKNOT_LOAD_MIX_HPP

#include <mintknot/base/time.hpp>

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace mintknot::load {

/// Requests of one class. Lengths are log-normal around their medians.
struct mix_part {
    std::string request_class;
    std::string key;     ///< Of the organisation that sends it.
    double share = 1.0;  ///< Of all arrivals, relative to the other parts.
    double weight = 1.0; ///< In the weighted goodput.
    base::milliseconds first_token{1000}; ///< Targets of the class.
    base::milliseconds per_token{60};
    double prompt_tokens = 500; ///< Median.
    double prompt_spread = 0.5; ///< Sigma of the logarithm.
    double output_tokens = 50;
    double output_spread = 0.5;
    /// Prompts begin with one of so many texts that take this share of them.
    std::uint64_t shared_prefixes = 0;
    double shared_share = 0.0;
    /// Share of callers that leave midway.
    double cancel_share = 0.0;
};

struct mix {
    std::string name;
    std::string model;
    std::vector<mix_part> parts;
};

/// Parses the JSON form; errors name the field's path.
absl::StatusOr<mix> parse_mix(std::string_view text);

/// Reads and parses a file.
absl::StatusOr<mix> load_mix(const std::string& file);

} // namespace mintknot::load

#endif
