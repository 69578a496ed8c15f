#include "lapsed_servers.hpp"

#include <mintknot/policy/row_expiry.hpp>

#include <algorithm>

namespace mintknot::runtime {

lapsed_servers::lapsed_servers(
    event::loop& owner, logging::line_log& log, base::milliseconds drain_bound,
    std::function<void(const std::string&, std::uint64_t)> remove,
    std::function<std::size_t()> known)
    : owner_(owner)
    , log_(log)
    , return_time_(policy::row_return_time(drain_bound))
    , remove_(std::move(remove))
    , known_(std::move(known))
    , timer_(owner) {}

void lapsed_servers::store_returned() {
    hold_until_ = owner_.now() + return_time_;
}

void lapsed_servers::gone(const std::string& id, std::uint64_t version) {
    held_[id] = version;
    if (timer_.active())
        return;
    timer_.start(
        std::max(hold_until_, owner_.now() + policy::removal_gather_time),
        [this] { settle(); });
}

void lapsed_servers::back(const std::string& id) {
    held_.erase(id);
}

void lapsed_servers::settle() {
    const bool held_already = hold_until_ + return_time_ > owner_.now();
    if (held_already || !policy::is_mass_removal(held_.size(), known_())) {
        remove_held();
        return;
    }
    log_.write(
        "removals_held", {{"servers", static_cast<std::int64_t>(held_.size())},
                          {"for_ms", return_time_.count()}});
    hold_until_ = owner_.now() + return_time_;
    timer_.start(hold_until_, [this] { settle(); });
}

void lapsed_servers::remove_held() {
    const std::map<std::string, std::uint64_t> due = std::move(held_);
    held_.clear();
    for (const auto& [id, version] : due)
        remove_(id, version);
}

} // namespace mintknot::runtime
