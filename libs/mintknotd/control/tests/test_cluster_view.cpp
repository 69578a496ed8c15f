#include <mintknot/control/cluster_view.hpp>

#include <criterion/criterion.h>

using namespace mintknot;

namespace {

control::cluster_view view_of(const std::string& self) {
    control::cluster_view view;
    for (const char* name : {"a", "b", "c"}) {
        cluster::member item;
        item.id = {"dc1", name, 1};
        item.state = cluster::member_state::ready;
        view.live.push_back(item);
    }
    view.self = {"dc1", self, 1};
    return view;
}

} // namespace

Test(cluster_view, all_agree_on_one_scheduler_and_one_watcher) {
    for (const std::string job : {"s1", "s2", "s3", "s4"}) {
        int watchers = 0;
        const auto scheduler = scheduler_of(view_of("a"), job, "dc1");
        for (const char* self : {"a", "b", "c"}) {
            cr_assert(
                scheduler_of(view_of(self), job, "dc1")->id == scheduler->id);
            watchers += watches(view_of(self), job, "dc1") ? 1 : 0;
        }
        cr_assert_eq(watchers, 1);
    }
}

Test(cluster_view, only_the_very_run_of_an_instance_is_found) {
    const auto view = view_of("a");
    cr_assert(find_live(view, {"dc1", "b", 1}).has_value());
    cr_assert(!find_live(view, {"dc1", "b", 2}).has_value());
}

Test(cluster_view, an_instance_that_is_not_ready_gets_no_job) {
    auto view = view_of("a");
    for (auto& item : view.live)
        item.state = cluster::member_state::leaving;
    cr_assert(!scheduler_of(view, "s", "dc1").has_value());
}

Test(cluster_view, who_does_not_answer_is_passed_over_by_all_alike) {
    const auto first = scheduler_of(view_of("a"), "s", "dc1");
    const auto next = scheduler_of(view_of("a"), "s", "dc1", {first->id});
    cr_assert(next.has_value());
    cr_assert(next->id != first->id);
    cr_assert(
        scheduler_of(view_of("b"), "s", "dc1", {first->id})->id == next->id);
    const auto last =
        scheduler_of(view_of("a"), "s", "dc1", {first->id, next->id});
    cr_assert(last.has_value());
    const std::vector<base::instance_id> all{first->id, next->id, last->id};
    cr_assert(!scheduler_of(view_of("a"), "s", "dc1", all).has_value());
}
