/// @file
/// One run of the request runner: the attempts of one request.
#ifndef MINTKNOT_ENTRY_SRC_REQUEST_RUN_HPP
#define MINTKNOT_ENTRY_SRC_REQUEST_RUN_HPP

#include <mintknot/entry/placer.hpp>
#include <mintknot/entry/request_runner.hpp>

#include <optional>
#include <string>
#include <vector>

namespace mintknot::entry {

/// A finished prefill whose result is still kept by its engine.
struct kept_prefill {
    std::string engine;
    base::address where;
    std::string attempt;
    engine::prefill_result result;
    base::steady_time gone_at;
};

/// Lives on the stack of request_runner::run().
class request_run {
public:
    request_run(request_runner& runner, live_request& request);
    request_run(const request_run&) = delete;
    request_run& operator=(const request_run&) = delete;

    void run();

private:
    /// One try on the placed engines. @return why it failed, or nothing.
    std::optional<base::refusal> attempt(const placed& where);
    std::optional<base::refusal> prefill(const placed& where);
    std::optional<base::refusal> decode(const placed& where);
    bool on_event(const placed& where, const engine::decode_event& event);

    std::optional<base::refusal> may_start() const;
    bool may_retry(const base::refusal& why);
    bool may_ask_again(const base::refusal& why);
    routing::place_query next_query();
    void give_up_prefill(base::reason why, const std::string& sentence);
    void cancel_decode(const placed& where, const base::refusal& why);
    void report(
        const placed& where, routing::progress_phase phase,
        std::uint64_t cached_tokens = 0);
    void note(
        audit::decision_kind kind, base::reason code, std::string sentence,
        std::string choice = {});
    engine::order_header header(char step) const;
    base::milliseconds left() const;

    request_runner& runner_;
    const runner_parts& parts_;
    live_request& request_;
    const completion_call& call_;
    int number_ = 0;      ///< Of the current attempt.
    std::string attempt_; ///< Name of the current attempt.
    std::string prompt_;  ///< The prompt and the tokens sent so far.
    std::uint64_t offset_ = 0;
    bool imported_ = false; ///< The current decode holds the KV cache.
    std::optional<kept_prefill> kept_;
    std::vector<std::string> excluded_;
};

} // namespace mintknot::entry

#endif
