/// @file
/// Calls of plain services, repeatable or not.
#ifndef MINTKNOT_ENTRY_PLAIN_ROUTER_HPP
#define MINTKNOT_ENTRY_PLAIN_ROUTER_HPP

#include <mintknot/audit/decision_log.hpp>
#include <mintknot/base/refusal.hpp>
#include <mintknot/claims/claim_ledger.hpp>
#include <mintknot/config/change_feed.hpp>
#include <mintknot/control/control_loop.hpp>
#include <mintknot/net/http_client.hpp>
#include <mintknot/routing/engine_table.hpp>
#include <mintknot/routing/retry_budget.hpp>

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace mintknot::entry {

/// A call of a plain service, after the checks of its caller.
struct plain_call {
    std::string id; ///< Request ID.
    std::string organisation;
    std::string class_name;
    double retry_percent = 10.0;
    std::string idempotency_key;
    std::string service;
    std::string method;
    std::string path; ///< Below the service, with the query, from "/" on.
    std::vector<net::http_header> headers; ///< To be handed on.
    std::string content_type;
    std::string body;
    base::steady_time deadline;
};

struct plain_answer {
    int status = 0;
    std::string content_type;
    std::string body;
    bool replayed = false; ///< The kept answer of an earlier call.
};

/// Chooses the least busy backend server, retries what may be repeated, and
/// runs what may not be repeated at most once, under a claim.
///
/// Thread: call() from any thread; it blocks.
class plain_router {
public:
    /// All must outlive the router.
    plain_router(
        const config::change_feed& feed, const control::control_loop& control,
        claims::claim_ledger& ledger, audit::decision_log& decisions);
    ~plain_router();
    plain_router(const plain_router&) = delete;
    plain_router& operator=(const plain_router&) = delete;

    base::outcome<plain_answer> call(const plain_call& call);

private:
    struct chosen_server {
        routing::engine_number number = 0;
        std::string name;
        base::address where;
    };

    base::outcome<plain_answer>
    call_repeatable(const plain_call& call, base::milliseconds timeout);
    base::outcome<plain_answer>
    call_once(const plain_call& call, base::milliseconds timeout);
    base::outcome<plain_answer>
    run_claimed(const plain_call& call, base::milliseconds timeout);
    base::outcome<plain_answer>
    answer_of_other(const plain_call& call, claims::claim row);
    base::outcome<chosen_server>
    choose(const plain_call& call, const std::vector<std::string>& excluded);
    base::outcome<plain_answer> send(
        const plain_call& call, const chosen_server& server,
        base::milliseconds timeout);
    void give_back(
        const std::string& service, routing::engine_number number, bool good);
    bool spend_retry(const plain_call& call);
    void note(
        const plain_call& call, audit::decision_kind kind, base::reason code,
        std::string sentence, std::string choice = {});

    const config::change_feed& feed_;
    const control::control_loop& control_;
    claims::claim_ledger& ledger_;
    audit::decision_log& decisions_;
    net::http_client client_;
    std::mutex mutex_;
    std::map<std::string, routing::engine_table> tables_;  ///< By service.
    std::map<std::string, routing::retry_budget> budgets_; ///< By class.
};

} // namespace mintknot::entry

#endif
