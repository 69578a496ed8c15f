/// @file
/// Reads the instances' logs and counts what requests lost, by cause.
#ifndef MINTKNOT_LOSSES_LOSS_LEDGER_HPP
#define MINTKNOT_LOSSES_LOSS_LEDGER_HPP

#include <mintknot/base/time.hpp>
#include <mintknot/losses/caller_account.hpp>
#include <mintknot/losses/loss_cause.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>

namespace mintknot::losses {

/// What the requests are counted by.
struct ledger_key {
    std::string route;
    std::string data_centre; ///< Of the instance; "unknown" without its start.
    std::int64_t window = 0; ///< Number of the window since 1970.
    loss_cause cause = loss_cause::none;

    bool operator<(const ledger_key& other) const {
        return std::tie(route, data_centre, window, cause) <
               std::tie(
                   other.route, other.data_centre, other.window, other.cause);
    }
};

/// What callers got at their first try, and those who were refused at their
/// next one.
struct first_try_account {
    std::int64_t first_tries = 0;
    std::int64_t in_target = 0;
    std::int64_t late = 0;
    std::int64_t refused_at_once = 0;
    std::int64_t held_and_refused = 0;
    base::milliseconds held{0}; ///< By those that were held and refused.
    std::int64_t failed = 0;    ///< After they had been sent to a server.
    std::int64_t returned = 0;
    std::int64_t returned_in_vain = 0;
};

/// Lines that were read or passed over.
struct line_counts {
    std::int64_t read = 0;
    std::int64_t foreign = 0;  ///< No JSON object of an instance.
    std::int64_t left_out = 0; ///< Lines that instances say they left out.
    std::string first_foreign; ///< Begin of the first one.
};

/// A request whose end has not been read yet.
struct open_request {
    std::string route;
    std::string instance;
    std::int64_t at = 0; ///< Wall time of its first line, in ms.
    double prompt_tokens = 0.0;
    int reads = 0;            ///< Prompts that engines were to read.
    std::string last_failure; ///< Reason of the last further try.
};

/// Settings of an account.
struct ledger_options {
    base::milliseconds window{5000};
    /// What a request of a route counts for; 1 for those that are not named.
    std::map<std::string, double> weights;
    /// Requests whose end is missing that are kept in memory: some 100 MB. The
    /// oldest are taken for lost above that.
    std::size_t most_open = 400'000;
};

/// The state of reading. Filled by the functions below, in any order of files:
/// all lines of a request are written by one instance.
struct loss_ledger {
    ledger_options options;
    line_counts lines;
    std::map<ledger_key, std::int64_t> requests;
    std::map<std::string, first_try_account> first_tries; ///< By route.
    /// Requests that were refused for their key or limit, by organisation.
    std::map<std::string, std::map<loss_cause, std::int64_t>> by_organisation;
    /// Prompt tokens read again or for nothing, by reason.
    std::map<std::string, double> tokens_read_again;
    std::map<std::string, std::string> data_centres; ///< By instance.
    /// What each instance says it has left out since its last start.
    std::map<std::string, std::int64_t> left_out;
    caller_account callers;
    std::unordered_map<std::string, open_request> open; ///< By request ID.
    std::deque<std::string> open_order; ///< Oldest first; may name ended ones.
};

/// Takes one line; what stands before its first brace is passed over.
void take_line(loss_ledger& ledger, std::string_view line);

/// Takes requests without an end for lost with their instance, and links the
/// tries of each caller.
void close_account(loss_ledger& ledger);

} // namespace mintknot::losses

#endif
