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
    , drain_bound_(drain_bound)
    , return_time_(policy::row_recovery_time(drain_bound))
    , remove_(std::move(remove))
    , known_(std::move(known))
    , timer_(owner) {}

void lapsed_servers::store_returned() {
    hold_until_ = owner_.now() + return_time_;
}

void lapsed_servers::gone(
    const std::string& id, std::uint64_t version,
    std::optional<base::steady_time> seen) {
    const base::steady_time now = owner_.now();
    held_[id] = version;
    limit_ = std::min(
        limit_, policy::removal_hold_deadline(seen, drain_bound_, now));
    if (!timer_.active() || limit_ < settles_)
        settle_at(std::max(hold_until_, now + policy::removal_batch_time));
}

void lapsed_servers::settle_at(base::steady_time when) {
    settles_ = std::min(when, limit_);
    timer_.start(settles_, [this] { settle(); });
}

void lapsed_servers::back(const std::string& id) {
    held_.erase(id);
}

void lapsed_servers::settle() {
    const base::steady_time now = owner_.now();
    const bool was_held = hold_until_ + return_time_ > now;
    const bool servers_left =
        now >= limit_ || !policy::is_mass_removal(held_.size(), known_());
    if (was_held || servers_left) {
        remove_held();
        return;
    }
    hold_until_ = now + return_time_;
    settle_at(hold_until_);
    log_.write(
        "removals_held",
        {{"servers", static_cast<std::int64_t>(held_.size())},
         {"for_ms",
          std::chrono::duration_cast<base::milliseconds>(settles_ - now)
              .count()}});
}

void lapsed_servers::remove_held() {
    const std::map<std::string, std::uint64_t> removals = std::move(held_);
    held_.clear();
    limit_ = base::steady_time::max();
    for (const auto& [id, version] : removals)
        remove_(id, version);
}

} // namespace mintknot::runtime
