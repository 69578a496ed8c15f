/// @file
/// Memory that running streams are expected to hold on an engine, now and
/// later.
#ifndef MINTKNOT_TRAFFIC_MEMORY_PROFILE_HPP
#define MINTKNOT_TRAFFIC_MEMORY_PROFILE_HPP

#include <mintknot/base/time.hpp>

#include <array>
#include <cstddef>

namespace mintknot::traffic {

/// Time between two points of a profile.
inline constexpr base::milliseconds profile_step{500};

/// Most tokens of a stream or of a message in a profile. Larger values, of
/// callers that state any number, would leave rounding errors in sums from
/// which they are taken back: 1e12 tokens leave a deviation of 1e4.
inline constexpr double max_profile_tokens = 16777216.0;

/// Tokens held at equidistant times: the sum of the expected values and of the
/// variances over streams that end independently of each other. Profiles are
/// additive; with time they need no update, because each point belongs to a
/// fixed time.
struct memory_profile {
    static constexpr std::size_t points = 8;

    base::steady_time start{}; ///< Time of the first point.
    /// What the streams of the profile count in server_load::memory_tokens;
    /// about 0: there is no profile.
    double covered = 0.0;
    std::array<double, points> mean{};
    std::array<double, points> variance{};
    /// What would be held if no stream ended.
    std::array<double, points> highest{};

    bool present() const noexcept;
};

/// Both sides are brought to the later of the two starts. Subtraction takes
/// back exactly what was added if the starts differ by whole steps.
memory_profile&
operator+=(memory_profile& left, const memory_profile& right) noexcept;
memory_profile&
operator-=(memory_profile& left, const memory_profile& right) noexcept;

/// @return the profile with its points at other times: interpolated between the
/// points, constant before the first one, halved with each step after the last
/// one.
memory_profile
resampled(const memory_profile& profile, base::steady_time start) noexcept;

/// @return the last common start of profiles before a time. Profiles that start
/// there are added and taken back exactly.
base::steady_time profile_grid(base::steady_time now) noexcept;

} // namespace mintknot::traffic

#endif
