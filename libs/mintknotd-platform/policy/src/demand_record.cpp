#include <mintknot/policy/demand_record.hpp>

#include <algorithm>
#include <cmath>

namespace mintknot::policy {

namespace {

/// Waiting requests ask again every 60 ms in groups with schedulers, sooner in
/// others: two lost or late questions do not end their claim.
constexpr base::milliseconds max_time_between_questions{150};
/// Time constant with which requests are forgotten that gave up waiting without
/// a message: the longest targets are about two of it.
constexpr double waiting_decay_ms = 1000.0;

std::int64_t slot_number(const recent_cost& recent, base::steady_time now) {
    return now.time_since_epoch() / (recent.window / demand_slots);
}

double decayed(const demand_record& record, base::steady_time now) {
    const std::chrono::duration<double, std::milli> age =
        now - record.waiting_at;
    return record.waiting * std::exp(-age.count() / waiting_decay_ms);
}

void set_waiting(demand_record& record, double cost, base::steady_time now) {
    record.waiting = std::max(0.0, cost);
    record.waiting_at = now;
}

} // namespace

void add(recent_cost& recent, double cost, base::steady_time now) {
    const std::int64_t number = slot_number(recent, now);
    const auto slots = static_cast<std::int64_t>(demand_slots);
    const std::int64_t first = std::max(recent.newest + 1, number - slots + 1);
    for (std::int64_t slot = first; slot <= number; ++slot)
        recent.slots.at(static_cast<std::size_t>(slot % slots)) = 0.0;
    recent.newest = std::max(recent.newest, number);
    recent.slots.at(static_cast<std::size_t>(number % slots)) += cost;
}

double sum(const recent_cost& recent, base::steady_time now) {
    const std::int64_t number = slot_number(recent, now);
    const auto slots = static_cast<std::int64_t>(demand_slots);
    double total = 0.0;
    for (std::int64_t slot = number - slots + 1; slot <= recent.newest; ++slot)
        total += recent.slots.at(static_cast<std::size_t>(slot % slots));
    return total;
}

double rate(const recent_cost& recent, base::steady_time now) {
    return sum(recent, now) / static_cast<double>(recent.window.count());
}

double waiting_cost(const demand_record& record, base::steady_time now) {
    return now - record.last_denied > max_time_between_questions
               ? 0.0
               : decayed(record, now);
}

double largest_waiting(const demand_record& record, base::steady_time now) {
    return now - record.largest_at > max_time_between_questions
               ? 0.0
               : record.largest;
}

void note_asked(demand_record& record, double cost, base::steady_time now) {
    add(record.asked, cost, now);
    add(record.asked_long, cost, now);
    record.last_asked = now;
}

void note_served(
    demand_record& record, double cost, bool waited, base::steady_time now) {
    add(record.served, cost, now);
    record.last_asked = now;
    if (!waited)
        return;
    set_waiting(record, waiting_cost(record, now) - cost, now);
    if (cost >= record.largest)
        record.largest = 0.0;
}

void note_denied(
    demand_record& record, double cost, bool waits, bool waited,
    base::steady_time now) {
    const double before = waiting_cost(record, now);
    if (waited)
        set_waiting(record, std::max(before, waits ? cost : 0.0), now);
    else
        set_waiting(record, before + (waits ? cost : 0.0), now);
    if (waits && cost >= largest_waiting(record, now)) {
        record.largest = cost;
        record.largest_at = now;
    }
    record.last_denied = now;
    record.last_asked = now;
}

bool competes(const demand_record& record, base::steady_time now) {
    return now - record.last_denied < shortage_time;
}

} // namespace mintknot::policy
