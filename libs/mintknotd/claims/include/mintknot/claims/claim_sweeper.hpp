/// @file
/// Removes claims that nobody can ask for any more.
#ifndef MINTKNOT_CLAIMS_CLAIM_SWEEPER_HPP
#define MINTKNOT_CLAIMS_CLAIM_SWEEPER_HPP

#include <mintknot/base/time.hpp>
#include <mintknot/table_service/table_client.hpp>

#include <cstddef>
#include <functional>
#include <stop_token>
#include <string>

namespace mintknot::claims {

struct sweeper_options {
    /// Claims older than this go, whatever their state: a caller that sends a
    /// call again later would run it again.
    std::chrono::hours kept{168};
    /// One page of rows is looked at in each period, so that the load on the
    /// store does not grow with the number of claims.
    base::milliseconds period{5000};
    std::size_t page_rows = 500;
};

/// Goes round all claims, page by page. Two sweepers at once are harmless: a
/// row is erased only at the revision that was looked at.
///
/// Thread: not safe for concurrent use.
class claim_sweeper {
public:
    /// The platform must outlive the sweeper.
    claim_sweeper(
        table_service::table_client& platform, const sweeper_options& options);

    /// Looks at the next page. @return how many claims were removed; 0 as well
    /// if the store is out of reach.
    std::size_t sweep_page(base::wall_time now);

    /// Sweeps a page in each period, while `is_ours` says that this instance
    /// has the job.
    void run(const std::stop_token& stop, const std::function<bool()>& is_ours);

private:
    table_service::table_client& platform_;
    const sweeper_options options_;
    std::string after_; ///< The last key that was looked at.
};

} // namespace mintknot::claims

#endif
