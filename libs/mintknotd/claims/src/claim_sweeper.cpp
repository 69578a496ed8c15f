#include <mintknot/claims/claim_sweeper.hpp>

#include <mintknot/claims/claim.hpp>

#include <condition_variable>
#include <mutex>

namespace mintknot::claims {

namespace {

const std::string claim_prefix = "claim/";

} // namespace

claim_sweeper::claim_sweeper(
    table_service::table_client& platform, const sweeper_options& options)
    : platform_(platform)
    , options_(options) {}

std::size_t claim_sweeper::sweep_page(base::wall_time now) {
    const auto rows = platform_.scan(claim_prefix, after_, options_.page_rows);
    if (!rows.ok())
        return 0;
    // A short page is the last one: the next round starts at the beginning.
    after_ = rows->size() < options_.page_rows ? "" : rows->back().key;
    const base::wall_time oldest = now - options_.kept;
    table_service::transaction erases;
    for (const table_service::table_row& row : *rows) {
        const base::wall_time created(
            base::milliseconds{claim_from_json(row.value).created_ms});
        if (created < oldest)
            erases.push_back(table_service::erase(row.key, row.revision));
    }
    if (erases.empty())
        return 0;
    const auto result = platform_.commit(erases);
    const bool applied =
        result.end == table_service::commit_result::state::applied;
    return applied ? erases.size() : 0;
}

void claim_sweeper::run(
    const std::stop_token& stop, const std::function<bool()>& is_ours) {
    std::mutex mutex;
    std::condition_variable_any stopped;
    std::unique_lock lock(mutex);
    while (!stop.stop_requested()) {
        stopped.wait_for(lock, stop, options_.period, [] { return false; });
        if (!stop.stop_requested() && is_ours())
            sweep_page(base::wall_now());
    }
}

} // namespace mintknot::claims
