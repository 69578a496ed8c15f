/// @file
/// The streams of the load test (stream_load.hpp), and the sizes of its
/// engines.
#ifndef MINTKNOT_POLICY_TESTS_PLAYED_STREAM_HPP
#define MINTKNOT_POLICY_TESTS_PLAYED_STREAM_HPP

#include <mintknot/traffic/load_view.hpp>

#include <cmath>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace mintknot::policy::tests {

using base::milliseconds;

inline const base::steady_time begin =
    base::steady_time{} + std::chrono::hours(1);
inline constexpr double engine_tokens = 72923.0;
inline constexpr int slots = 12;
inline constexpr double event_tokens = 69.0;
inline constexpr double max_events = 130.0;
inline constexpr milliseconds event_time{43};
inline constexpr milliseconds tick{20};
inline constexpr milliseconds warm_up{6000};
inline constexpr milliseconds duration{36000};
inline constexpr milliseconds longest_wait{500};
inline constexpr milliseconds retry_interval{100};
inline constexpr milliseconds first_event_time{150};
inline constexpr milliseconds report_interval{500};
inline constexpr milliseconds report_delay{60};

/// One stream and what has become of it.
struct stream {
    double prompt = 0.0;
    double length = 0.0; ///< In events.
    double hint = 0.0;   ///< In tokens.
    std::size_t instance = 0;
    base::steady_time arrived;
    std::string server;
    traffic::server_load load;
    base::steady_time begins;
    double events = 0.0;
    bool preempted = false;
    bool paused = false;
    bool counted = false;
    bool large = false;

    double held() const {
        return 16.0 *
               std::ceil((prompt + event_tokens * std::floor(events)) / 16.0);
    }
};

/// Memory of all engines at all times, for streams whose lengths are known.
class known_memory {
public:
    /// Places a stream on the fullest engine on which it fits until its end.
    /// @return the engine; empty if there is none.
    std::string place(
        const stream& one, base::steady_time begins,
        const std::vector<std::string>& engines);

private:
    std::map<std::string, std::vector<double>> held_;
};

} // namespace mintknot::policy::tests

#endif
