#include <mintknot/policy/version_history.hpp>

#include <criterion/criterion.h>

using namespace mintknot;
using namespace mintknot::policy;

namespace {

constexpr base::milliseconds window{30000};
constexpr base::milliseconds step{1000};
const base::steady_time start = base::steady_time(std::chrono::hours(1));

traffic::server engine(const std::string& version) {
    traffic::server server;
    server.service = "llm";
    server.version = version;
    return server;
}

/// Confirms the view each second. @return when it was confirmed last.
base::steady_time
confirm(version_history& history, base::steady_time from, int seconds) {
    base::steady_time at = from;
    for (int i = 0; i < seconds; ++i, at += step)
        note_complete_view(history, at);
    return at - step;
}

} // namespace

Test(version_history, one_version_for_long_enough_is_the_only_one) {
    version_history history;
    const traffic::server v1 = engine("v1");
    note_server_change(history, nullptr, &v1, start);
    const base::steady_time soon = confirm(history, start, 29);
    cr_assert(!only_version(history, "llm", window, soon));
    const base::steady_time later = confirm(history, soon + step, 5);
    cr_assert(only_version(history, "llm", window, later) == "v1");
    cr_assert(!only_version(history, "app", window, later));
}

Test(version_history, a_version_counts_until_its_streams_have_ended) {
    version_history history;
    const traffic::server v1 = engine("v1");
    const traffic::server v2 = engine("v2");
    note_server_change(history, nullptr, &v1, start);
    const base::steady_time both = confirm(history, start, 60);
    note_server_change(history, nullptr, &v2, both);
    cr_assert(!only_version(history, "llm", window, both));
    note_server_change(history, &v1, nullptr, both);
    const base::steady_time soon = confirm(history, both, 25);
    cr_assert(!only_version(history, "llm", window, soon));
    const base::steady_time later = confirm(history, soon, 10);
    cr_assert(only_version(history, "llm", window, later) == "v2");
}

Test(version_history, a_gap_in_the_view_hides_versions) {
    version_history history;
    const traffic::server v1 = engine("v1");
    note_server_change(history, nullptr, &v1, start);
    const base::steady_time last = confirm(history, start, 60);
    cr_assert(only_version(history, "llm", window, last) == "v1");
    cr_assert(!only_version(history, "llm", window, last + 5 * step));
    const base::steady_time after = confirm(history, last + 5 * step, 20);
    cr_assert(!only_version(history, "llm", window, after));
}

Test(version_history, servers_without_a_version_are_not_alike) {
    version_history history;
    const traffic::server unknown = engine("");
    note_server_change(history, nullptr, &unknown, start);
    const base::steady_time later = confirm(history, start, 60);
    cr_assert(!only_version(history, "llm", window, later));
}

Test(version_history, the_longest_stream_is_that_of_a_streaming_route) {
    traffic::configuration config;
    config.routes.resize(2);
    config.routes[0].kind = traffic::route_kind::streaming;
    config.routes[0].timeout = base::milliseconds(14000);
    config.routes[1].kind = traffic::route_kind::safe;
    config.routes[1].timeout = base::milliseconds(60000);
    cr_assert(longest_stream(config) == base::milliseconds(14000));
}

// Streams went on at engines that were upgraded while the store was down.
Test(
    version_history, rows_are_not_current_during_an_outage_nor_right_after_it) {
    version_history history;
    cr_assert(!are_rows_current(history, start));
    const base::steady_time down = confirm(history, start, 10);
    cr_assert(are_rows_current(history, down + step));
    cr_assert(!are_rows_current(history, down + 2 * step));
    const base::steady_time back = confirm(history, down + 4 * step, 2);
    cr_assert(!are_rows_current(history, back));
    const base::steady_time later = confirm(history, back + step, 2);
    cr_assert(are_rows_current(history, later));
}

Test(version_history, the_age_of_current_rows_follows_the_drain_bound) {
    version_history history;
    history.max_row_age = base::milliseconds(3600);
    const base::steady_time down = confirm(history, start, 10);
    cr_assert(are_rows_current(history, down + 3 * step));
    cr_assert(!are_rows_current(history, down + 4 * step));
}
