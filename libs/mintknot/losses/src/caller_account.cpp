#include "caller_links.hpp"

#include <algorithm>
#include <limits>
#include <string_view>

namespace mintknot::losses {

namespace {

constexpr std::string_view other_names = "(other)";

std::uint32_t number_of(caller_account& account, const std::string& name) {
    name_table& table = account.names;
    const auto known = table.numbers.find(name);
    if (known != table.numbers.end())
        return known->second;
    if (table.names.size() >= account.limits.max_names && name != other_names)
        return number_of(account, std::string(other_names));
    const auto number = static_cast<std::uint32_t>(table.names.size());
    table.names.push_back(name);
    table.numbers.emplace(name, number);
    return number;
}

std::uint32_t clamped(base::milliseconds time) {
    constexpr std::int64_t most = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(time.count(), 0, most));
}

linkable_try compact(caller_account& account, const caller_try& ended) {
    linkable_try result;
    result.digest = ended.digest;
    result.started_at = ended.started_at;
    result.total_ms = clamped(ended.total);
    result.deadline_ms = clamped(ended.deadline);
    result.first_byte_ms = clamped(ended.first_byte);
    result.target_ms = clamped(ended.target);
    result.route = number_of(account, ended.route);
    result.priority = number_of(account, ended.priority);
    result.organisation = number_of(account, ended.organisation);
    result.instance = number_of(account, ended.instance);
    result.result = ended.result;
    result.returned = ended.returned;
    result.gap_missed = ended.target_gap > base::milliseconds{0} &&
                        ended.longest_gap > ended.target_gap;
    return result;
}

void add(caller_counts& sum, const caller_counts& more) {
    sum.callers += more.callers;
    sum.in_target += more.in_target;
    sum.late += more.late;
    sum.refused_once += more.refused_once;
    sum.refused_twice += more.refused_twice;
    sum.failed += more.failed;
    sum.late_by_gap += more.late_by_gap;
    sum.ever_refused += more.ever_refused;
    sum.ever_refused_twice += more.ever_refused_twice;
}

/// Counts an answered caller by its target, which runs from its first try.
void judge_answer(
    caller_counts& one, const linkable_try& first, const linkable_try& last) {
    const std::int64_t first_event =
        std::max<std::int64_t>(0, last.started_at - first.started_at) +
        last.first_byte_ms;
    const bool late_start =
        last.target_ms > 0 && first_event > std::int64_t{last.target_ms};
    one.late = late_start || last.gap_missed ? 1 : 0;
    one.late_by_gap = !late_start && last.gap_missed ? 1 : 0;
    one.in_target = 1 - one.late;
}

} // namespace

void count_caller(
    caller_account& account, const linkable_try& first,
    const linkable_try& last, int refusals) {
    caller_counts one;
    one.callers = 1;
    one.ever_refused = refusals >= 1 ? 1 : 0;
    one.ever_refused_twice = refusals >= 2 ? 1 : 0;
    if (last.result == try_result::answered)
        judge_answer(one, first, last);
    else if (last.result == try_result::failed)
        one.failed = 1;
    else
        (refusals >= 2 ? one.refused_twice : one.refused_once) = 1;
    const auto& names = account.names.names;
    add(account.all, one);
    add(account.routes[names[first.route]], one);
    add(account.priorities[names[first.priority]], one);
    add(account.organisations[names[first.organisation]], one);
    add(account.instances[names[first.instance]], one);
}

void note_try(caller_account& account, const caller_try& ended) {
    const linkable_try noted = compact(account, ended);
    if (noted.digest == 0) {
        count_caller(
            account, noted, noted, noted.result == try_result::refused ? 1 : 0);
        return;
    }
    if (account.tries.size() >= account.limits.max_tries)
        link_older_half(account);
    account.tries.push_back(noted);
}

std::map<std::string, caller_counts> callers_by_data_centre(
    const caller_account& account,
    const std::map<std::string, std::string>& data_centres) {
    std::map<std::string, caller_counts> sums;
    for (const auto& [instance, counts] : account.instances) {
        const auto found = data_centres.find(instance);
        add(sums[found == data_centres.end() ? "unknown" : found->second],
            counts);
    }
    return sums;
}

} // namespace mintknot::losses
