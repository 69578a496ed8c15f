#include "soak_judgement.hpp"

#include "part_checks.hpp"

#include <absl/strings/numbers.h>
#include <fmt/format.h>

namespace mintknot::soak {

namespace {

void add(soak_result& result, const std::vector<std::string>& broken) {
    result.broken.insert(result.broken.end(), broken.begin(), broken.end());
}

void count_answers(
    soak_result& result, const std::vector<caller_record>& records) {
    result.requests = records.size();
    for (const caller_record& record : records) {
        result.answered += record.status == 200 && record.whole ? 1 : 0;
        result.refused += record.status == 503 ? 1 : 0;
        result.left += record.left_at ? 1 : 0;
    }
}

/// @return the advertised limits that are valid numbers, by server part.
limits_by_server parsed_limits(const soak_options& options) {
    limits_by_server found;
    for (const auto& [server, limit] : options.advertised_limits) {
        double rate = 0.0;
        if (absl::SimpleAtod(limit, &rate) && rate >= 0.0)
            found[fmt::format("server-{}", server)] = rate;
    }
    return found;
}

void judge_cuts(soak_result& result, const soak_observations& seen) {
    const std::vector<cut_tally> tallies =
        cut_tallies(seen.records, seen.cuts, seen.disturbances);
    for (const cut_tally& cut : tallies)
        result.served_during_cuts.push_back(to_string(cut));
    add(result, broken_by_cuts(tallies));
}

void judge_limits(
    soak_result& result, const soak_options& options,
    const soak_observations& seen) {
    const limits_by_server limits = parsed_limits(options);
    add(result,
        broken_by_limits(seen.records, seen.notes, seen.disturbances, limits));
    result.measured_rates = measured_rates(seen.records, seen.notes, limits);
}

void judge_parts(soak_result& result, const soak_observations& seen) {
    const std::vector<part_tally> tallies =
        tally_parts(seen.records, seen.notes, seen.disturbances);
    for (const part_tally& part : tallies)
        result.parts.push_back(to_string(part));
    add(result, broken_by_parts(tallies));
}

void judge_skews(
    soak_result& result, const soak_options& options,
    const soak_observations& seen) {
    const std::vector<skew_tally> tallies =
        tally_skews(seen.records, seen.notes, options.skews, seen.load_began);
    for (const skew_tally& skew : tallies)
        result.served_during_skews.push_back(to_string(skew));
    add(result, broken_by_skews(tallies));
}

void judge_versions(soak_result& result, const soak_observations& seen) {
    const version_tally tally =
        tally_versions(seen.records, seen.engine_lives, seen.disturbances);
    result.versions = to_string(tally);
    add(result, broken_by_versions(tally));
}

} // namespace

void add_judgement(
    soak_result& result, const soak_options& options,
    const soak_observations& seen) {
    count_answers(result, seen.records);
    add(result, broken_promises(seen.records, seen.notes));
    add(result, broken_in_touch(seen.records, seen.notes, seen.disturbances));
    add(result, broken_by_crashes(seen.records, seen.notes, seen.disturbances));
    judge_cuts(result, seen);
    add(result, broken_by_words(seen.records, seen.notes, seen.disturbances));
    judge_limits(result, options, seen);
    judge_parts(result, seen);
    judge_skews(result, options, seen);
    if (options.take_ups)
        judge_versions(result, seen);
    if (options.scarce_capacity)
        add(result, broken_by_refusals(seen.records));
    // A cut resets what is open, so that not all work is planned.
    if (options.planned_only && seen.cuts.empty())
        add(result, broken_by_planned_work(seen.records, seen.notes));
}

} // namespace mintknot::soak
