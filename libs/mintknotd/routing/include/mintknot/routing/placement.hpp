/// @file
/// Choosing a prefill and a decode engine for a request.
#ifndef MINTKNOT_ROUTING_PLACEMENT_HPP
#define MINTKNOT_ROUTING_PLACEMENT_HPP

#include <mintknot/audit/decision.hpp>
#include <mintknot/base/refusal.hpp>
#include <mintknot/routing/engine_table.hpp>

#include <optional>
#include <string>
#include <vector>

namespace mintknot::routing {

/// What a placement has to know of a request.
struct place_query {
    std::string request; ///< Request ID, for the record.
    std::string attempt; ///< Unique name of this try, chosen by the entry.
    std::string service;
    std::string request_class;
    std::string organisation;
    std::uint64_t prompt_tokens = 0;
    std::uint64_t max_tokens = 0;
    std::vector<base::prefix_hash> prefix;
    std::vector<std::string> excluded; ///< Engines that failed it before.
    base::milliseconds time_left{0};   ///< Until its deadline.
    bool may_wait = true; ///< false: be refused rather than queued.
    /// Set when a kept prefill result only needs another decode engine.
    std::string prefilled_on;
};

/// The targets and weights that apply to a request.
struct place_goal {
    base::milliseconds first_token{1000};
    base::milliseconds per_token{60};
    int priority = 0;
    config::objective weights;
};

/// Where a request goes, and what is expected of it.
struct placement {
    engine_number prefill = 0;
    engine_number decode = 0;
    std::uint64_t cached_tokens = 0; ///< Believed.
    double first_token_ms = 0.0;     ///< Predicted.
    double per_token_ms = 0.0;       ///< Predicted.
};

/// A placement, or the reason why there is none now.
struct place_choice {
    std::optional<placement> chosen;
    base::reason code = base::reason::none;
    std::string sentence;
    std::vector<audit::candidate> candidates;
};

/// Chooses the pair with the lowest cost: predicted latencies relative to
/// their targets, weighed by the goodput weight, and the share of the prompt
/// that has to be computed, weighed by the wasted-prefill weight. The table
/// holds the engines of one data centre, so that no transfer leaves it.
/// Processor time is linear in the number of engines.
place_choice choose(
    const engine_table& table, const prefix_index& prefixes,
    const place_query& query, const place_goal& goal, base::steady_time now);

/// Chooses without a scheduler: the better of two random engines for each
/// step, by the lagging load reports alone.
place_choice choose_alone(
    const engine_table& table, const place_query& query, base::steady_time now);

} // namespace mintknot::routing

#endif
