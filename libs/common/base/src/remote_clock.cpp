#include <mintknot/base/remote_clock.hpp>

#include <algorithm>

namespace mintknot::base {

namespace {

/// How long an answer says something of later ones, at least. Two quartz clocks
/// drift apart by 3 ms in it at 100 ppm.
constexpr milliseconds period{30000};

/// The other clock shows whole milliseconds and cuts the rest off.
constexpr milliseconds resolution{1};

} // namespace

steady_time remote_clock::note(
    milliseconds shown, steady_time asked, steady_time answered) {
    if (best_ && asked - best_->noted > period) {
        earlier_ = best_;
        best_.reset();
    }
    if (earlier_ && asked - earlier_->noted > 2 * period)
        earlier_.reset();
    const offset now{asked - shown - resolution, asked};
    steady_time zero = now.zero;
    for (const std::optional<offset>* known : {&best_, &earlier_})
        if (*known)
            zero = std::max(zero, (*known)->zero);
    if (zero + shown > answered) {
        best_ = now;
        earlier_.reset();
        return asked;
    }
    if (!best_)
        best_ = now;
    best_->zero = std::max(best_->zero, now.zero);
    return std::max(asked, zero + shown);
}

} // namespace mintknot::base
