#include "lapsed_servers.hpp"

#include <algorithm>

namespace mintknot::runtime {

namespace {

/// How long after the store's return a server that lives may be without a
/// row, and by how much that must stay below the drain bound.
constexpr base::milliseconds max_return_time{1600};
constexpr base::milliseconds drain_margin{400};
/// Removals that come together are judged together.
constexpr base::milliseconds gather_time{50};
/// So many removals at once, and such a part of all servers, are no departure:
/// the store has been away without this instance noticing.
constexpr std::size_t min_mass = 3;
constexpr std::size_t mass_part = 4;

} // namespace

lapsed_servers::lapsed_servers(
    event::loop& owner, logging::line_log& log, base::milliseconds drain_bound,
    std::function<void(const std::string&, std::uint64_t)> remove,
    std::function<std::size_t()> known)
    : owner_(owner)
    , log_(log)
    , return_time_(
          std::clamp(drain_bound - drain_margin, gather_time, max_return_time))
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
    timer_.start(std::max(hold_until_, owner_.now() + gather_time), [this] {
        settle();
    });
}

void lapsed_servers::back(const std::string& id) {
    held_.erase(id);
}

void lapsed_servers::settle() {
    const std::size_t mass = std::max(min_mass, known_() / mass_part);
    const bool held_already = hold_until_ + return_time_ > owner_.now();
    if (held_.size() < mass || held_already) {
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
