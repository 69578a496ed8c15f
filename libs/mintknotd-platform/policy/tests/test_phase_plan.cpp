#include <mintknot/policy/phase_plan.hpp>

#include <criterion/criterion.h>

#include <algorithm>
#include <cmath>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>

using namespace mintknot;
using namespace mintknot::policy;

namespace {

constexpr auto prefill = traffic::engine_phase::prefill;
constexpr auto decode = traffic::engine_phase::decode;

struct engines {
    engines(int prefill_engines, int decode_engines) {
        for (int i = 0; i < prefill_engines + decode_engines; ++i) {
            traffic::server& value = servers.emplace_back();
            value.id = "e" + std::to_string(i);
            value.phase = i < prefill_engines ? prefill : decode;
            planned.push_back({&value, value.phase, false});
        }
    }
    std::vector<phase_change> plan_all() const {
        return plan_phase_changes(
            planned, demand, [](const traffic::server& engine) {
                return engine.id == "e1" ? 0.0 : 5.0;
            });
    }
    /// For services so small that one engine changes at a time.
    std::optional<phase_change> plan() const {
        const std::vector<phase_change> changes = plan_all();
        cr_assert(changes.size() <= 1);
        return changes.empty() ? std::nullopt : std::optional(changes.front());
    }
    std::list<traffic::server> servers;
    std::vector<planned_engine> planned;
    policy::phase_demand demand;
};

/// Demand of requests that take this much engine time.
policy::phase_demand demand_of(int prefill_ms, double decode_seconds) {
    policy::phase_demand demand;
    for (int i = 0; i < 300; ++i) {
        policy::note_uncontended_prefill(
            demand, 1000 + i % 2, base::milliseconds(prefill_ms));
        policy::note_decode(demand, decode_seconds, base::milliseconds(1000));
    }
    return demand;
}

} // namespace

Test(phase_plan, excess_prefill_engine_with_least_work_changes) {
    const engines all(6, 6);
    const auto change = all.plan();
    cr_assert(change.has_value());
    cr_assert(change->server_id == "e1");
    cr_assert(change->to == decode);
}

Test(phase_plan, nothing_changes_near_balance) {
    cr_assert(!engines(4, 8).plan().has_value());
}

Test(phase_plan, long_prompts_need_prefill_engines) {
    engines all(2, 10);
    all.demand = demand_of(2000, 0.2);
    const auto change = all.plan();
    cr_assert(change.has_value());
    cr_assert(change->to == prefill);
}

Test(phase_plan, last_prefill_engine_stays) {
    engines all(1, 11);
    all.demand = demand_of(1, 5.0);
    cr_assert(!all.plan().has_value());
}

Test(phase_plan, unusable_engines_limit_changes) {
    engines all(8, 4);
    cr_assert(all.plan().has_value());
    all.planned[0].unusable = true;
    all.planned[2].unusable = true;
    cr_assert(!all.plan().has_value());
}

Test(phase_plan, two_engines_never_change) {
    cr_assert(!engines(2, 0).plan().has_value());
}

Test(phase_plan, many_engines_change_at_once) {
    engines all(90, 166);
    all.demand = demand_of(96, 0.45);
    const auto changes = all.plan_all();
    cr_assert(changes.size() == 10, "%zu", changes.size());
    cr_assert(changes.front().server_id == "e1");
    std::set<std::string> ids;
    for (const phase_change& change : changes) {
        cr_assert(change.to == decode);
        ids.insert(change.server_id);
    }
    cr_assert(ids.size() == changes.size(), "an engine is named twice");
}

Test(phase_plan, many_engines_reach_balance_in_few_rounds) {
    engines all(90, 166);
    all.demand = demand_of(96, 0.45);
    int rounds = 0;
    for (auto changes = all.plan_all(); !changes.empty() && rounds < 20;
         changes = all.plan_all(), ++rounds)
        for (const phase_change& change : changes)
            for (planned_engine& engine : all.planned)
                if (engine.server->id == change.server_id)
                    engine.phase = change.to;
    const auto prefill_engines = std::count_if(
        all.planned.begin(), all.planned.end(),
        [](const planned_engine& engine) { return engine.phase == prefill; });
    const double wanted = 256.0 * prefill_share(all.demand);
    cr_assert(rounds <= 5, "%d rounds", rounds);
    cr_assert(std::abs(static_cast<double>(prefill_engines) - wanted) <= 6.5);
}

Test(phase_plan, at_most_one_in_six_engines_changes) {
    engines all(200, 56);
    all.demand = demand_of(96, 0.45);
    for (std::size_t i = 0; i < 38; ++i)
        all.planned[i].unusable = true;
    cr_assert(all.plan_all().size() == 4);
}

Test(phase_plan, data_centres_keep_share_of_prefill_engines) {
    // Six data centres of eight engines, with three prefill engines each, and
    // far too many prefill engines in total. Choosing only by least work would
    // take all prefill engines of one data centre before those of the others.
    engines all(18, 30);
    int number = 0;
    for (traffic::server& engine : all.servers) {
        const bool reads = engine.phase == prefill;
        engine.data_centre = std::to_string(reads ? number / 3 : number % 6);
        ++number;
    }
    for (int round = 0; round < 12; ++round)
        for (const phase_change& change : all.plan_all())
            for (planned_engine& engine : all.planned)
                if (engine.server->id == change.server_id)
                    engine.phase = change.to;
    std::map<std::string, int> prefill_engines;
    for (const planned_engine& engine : all.planned)
        prefill_engines[engine.server->data_centre] +=
            engine.phase == prefill ? 1 : 0;
    const auto [least, most] = std::minmax_element(
        prefill_engines.begin(), prefill_engines.end(),
        [](const auto& left, const auto& right) {
            return left.second < right.second;
        });
    cr_assert(least->second >= 2, "%d", least->second);
    cr_assert(most->second <= 3, "%d", most->second);
}

Test(phase_plan, nearly_idle_large_service_gets_no_orders) {
    const base::milliseconds minute{60000};
    const policy::phase_demand typical = demand_of(100, 0.25);
    // A third of a request a second at each of 1,000 instances.
    const double low_rate = estimated_request_rate(8.0, minute, 1000);
    cr_assert(low_rate > 140.0 && low_rate < 160.0, "%.1f", low_rate);
    cr_assert(is_nearly_idle(9600, typical, low_rate));
    cr_assert(!is_nearly_idle(9600, typical, 10.0 * low_rate));
    // Without observations, one request is assumed to arrive next.
    const base::milliseconds second{1000};
    cr_assert(
        is_nearly_idle(9600, {}, estimated_request_rate(0, second, 1000)));
    // Smaller services are balanced before their requests arrive.
    cr_assert(!is_nearly_idle(260, {}, estimated_request_rate(0, second, 295)));
}
