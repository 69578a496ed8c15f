#include <mintknot/policy/stream_origin.hpp>

#include <criterion/criterion.h>

#include <algorithm>
#include <set>

using namespace mintknot;
using namespace mintknot::policy;

namespace {

constexpr base::milliseconds life{1000};
const base::steady_time now = base::steady_time(std::chrono::hours(1));

/// Instances in data centres a, b and c in turn.
std::vector<instance_location> instances(int count) {
    std::vector<instance_location> result;
    for (int i = 0; i < count; ++i)
        result.push_back(
            {"10.0.0." + std::to_string(i),
             std::string(1, static_cast<char>('a' + i % 3))});
    return result;
}

std::string data_centre_of(
    const std::vector<instance_location>& all, const std::string& host) {
    for (const instance_location& instance : all)
        if (instance.host == host)
            return instance.data_centre;
    return {};
}

} // namespace

Test(stream_origin, an_unknown_version_is_equal_to_none) {
    cr_assert(is_same_version("v1", "v1"));
    cr_assert(!is_same_version("v1", "v1.1"));
    cr_assert(!is_same_version("", ""));
}

Test(stream_origin, a_beginning_is_remembered_for_its_life) {
    origin_table table;
    note_origin(table, "s", "v1", life, now);
    cr_assert(find_origin(table, "s", now)->version == "v1");
    cr_assert(find_origin(table, "other", now) == nullptr);
    cr_assert(find_origin(table, "s", now + life) == nullptr);
    note_origin(table, "t", "v1", life, now + life);
    cr_assert(table.by_stream.size() == 1);
}

Test(stream_origin, a_stream_that_two_versions_began_goes_on_at_neither) {
    origin_table table;
    note_origin(table, "s", "v1", life, now);
    note_origin(table, "s", "v2", life, now);
    cr_assert(find_origin(table, "s", now) == nullptr);
    note_origin(table, "s", "v1", life, now);
    cr_assert(find_origin(table, "s", now) == nullptr);
}

Test(stream_origin, ten_thousand_beginnings_a_second_evict_the_oldest) {
    origin_table table;
    constexpr int a_second = 10000;
    constexpr int seconds = 5;
    for (int i = 0; i < a_second * seconds; ++i)
        note_origin(
            table, std::to_string(i), "v1", std::chrono::minutes(1),
            now + base::milliseconds(i / 10));
    cr_assert(table.by_stream.size() == max_origins);
    cr_assert(table.by_age.size() == max_origins);
    cr_assert(table.evicted == a_second * seconds - max_origins);
    const base::steady_time end = now + std::chrono::seconds(seconds);
    cr_assert(find_origin(table, "0", end) == nullptr);
    cr_assert(find_origin(table, "49999", end) != nullptr);
}

Test(stream_origin, organisations_have_streams_of_their_own) {
    cr_assert(stream_key("one", "r") != stream_key("two", "r"));
    cr_assert(stream_key("a", "br") != stream_key("ab", "r"));
    cr_assert(
        stream_key("", std::string(100000, 'x')).size() ==
        stream_key("", "x").size());
}

Test(stream_origin, holders_are_in_all_data_centres) {
    const auto all = instances(9);
    for (int i = 0; i < 50; ++i) {
        const auto hosts = origin_hosts(std::to_string(i), all, origin_holders);
        std::set<std::string> places;
        for (const std::string& host : hosts)
            places.insert(data_centre_of(all, host));
        cr_assert(hosts.size() == origin_holders);
        cr_assert(places.size() == origin_holders);
    }
    cr_assert(origin_hosts("s", {}, origin_holders).empty());
    cr_assert(origin_hosts("s", instances(2), origin_holders).size() == 2);
}

Test(stream_origin, who_is_asked_knows_although_views_of_the_group_differ) {
    for (const int size : {9, 60, 300}) {
        const auto all = instances(size);
        int missed = 0;
        for (int i = 0; i < 200; ++i) {
            const std::string stream = std::to_string(i);
            std::vector<instance_location> fewer = all;
            fewer.erase(fewer.begin() + i % size);
            fewer.pop_back();
            const auto told = origin_hosts(stream, fewer, origin_holders);
            const auto asked = origin_hosts(stream, all, origin_respondents);
            missed += std::none_of(
                told.begin(), told.end(), [&](const std::string& host) {
                    return std::find(asked.begin(), asked.end(), host) !=
                           asked.end();
                });
        }
        cr_assert(missed == 0);
    }
}

Test(stream_origin, a_stream_that_nobody_remembers_does_not_go_on) {
    origin_answers answers;
    cr_assert(decide_origin(answers).verdict == origin_verdict::unknown);
    cr_assert(decide_origin(answers).version.empty());
    answers.silent = 1;
    const origin_decision later = decide_origin(answers);
    cr_assert(later.verdict == origin_verdict::unanswered);
    cr_assert(later.retry_after < decide_origin({}).retry_after);
    origin_answers of_newcomer;
    of_newcomer.group_unknown = true;
    cr_assert(decide_origin(of_newcomer).verdict == origin_verdict::unanswered);
    note_only_version(answers, "v1");
    cr_assert(decide_origin(answers).version == "v1");
    note_only_version(answers, "v2");
    cr_assert(decide_origin(answers).version.empty());
    answers.version = "v3";
    cr_assert(decide_origin(answers).version == "v3");
}
