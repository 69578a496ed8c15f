#include <mintknot/config/change_feed.hpp>

#include <criterion/criterion.h>

using namespace mintknot;
using config::change;
using config::resource_kind;

namespace {

change numbered(std::uint64_t revision) {
    return {
        revision,
        "id",
        "ops",
        resource_kind::service,
        "s",
        false,
        {{"model", std::to_string(revision)}}};
}

} // namespace

Test(change_feed, moves_forward_only_and_without_gaps) {
    config::change_feed feed(10);
    cr_assert(!feed.ready());
    cr_assert_eq(feed.apply({numbered(1), numbered(2)}), 2U);
    cr_assert_eq(feed.apply({numbered(4)}), 2U);
    cr_assert_eq(feed.apply({numbered(1)}), 2U);
    cr_assert_eq(feed.apply({numbered(2), numbered(3)}), 3U);
    feed.reset(config::catalogue::from({}, 1));
    cr_assert_eq(feed.current()->revision(), 3U);
    cr_assert_eq(feed.current()->service("s")->spec.model, "3");
}

Test(change_feed, a_watcher_is_told_when_changes_are_gone) {
    config::change_feed feed(2);
    feed.apply({numbered(1), numbered(2), numbered(3)});
    cr_assert_eq(feed.since(1).changes.size(), 2U);
    cr_assert(!feed.since(0).complete);
    cr_assert(feed.since(3).complete);
    cr_assert(feed.since(3).changes.empty());
}
