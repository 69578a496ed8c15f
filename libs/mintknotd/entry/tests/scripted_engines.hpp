// An engine client whose answers the tests script.
#ifndef MINTKNOT_ENTRY_TESTS_SCRIPTED_ENGINES_HPP
#define MINTKNOT_ENTRY_TESTS_SCRIPTED_ENGINES_HPP

#include <mintknot/engine/engine_client.hpp>

#include <deque>
#include <mutex>
#include <vector>

namespace mintknot::entry::tests {

/// How one decode goes: tokens from the ordered offset on, then its end.
struct decode_script {
    std::uint64_t tokens = 0;
    base::reason fails = base::reason::none; ///< none: ends well.
    base::verdict run = base::verdict::may_have_run;
    bool imported = true;
    bool repeats_first_token = false;
};

class scripted_engines final : public engine::engine_client {
public:
    base::outcome<engine::prefill_result> prefill(
        const base::address&, const engine::prefill_order& order,
        base::milliseconds, net::call_canceller&) override {
        prefills.push_back(order);
        if (!prefill_failures.empty()) {
            const auto why = prefill_failures.front();
            prefill_failures.pop_front();
            if (why.code != base::reason::none)
                return why;
        }
        return engine::prefill_result{
            "handle", 10, 0, base::milliseconds{60000}};
    }

    base::outcome<engine::decode_event> decode(
        const base::address&, const engine::decode_order& order,
        base::milliseconds, const engine::event_receiver& on_event,
        net::call_canceller&) override {
        decodes.push_back(order);
        decode_script script{order.max_tokens};
        if (!scripts.empty()) {
            script = scripts.front();
            scripts.pop_front();
        }
        if (script.imported)
            on_event({engine::decode_event::kind::imported});
        for (std::uint64_t i = 0; i < script.tokens; ++i) {
            const std::uint64_t offset = order.offset + i;
            const engine::decode_event token{
                engine::decode_event::kind::token, offset,
                std::to_string(offset) + ","};
            if (!on_event(token))
                return base::refusal{
                    base::reason::cancelled, "left",
                    base::verdict::may_have_run};
            if (script.repeats_first_token)
                on_event(
                    {engine::decode_event::kind::token, order.offset, "again"});
        }
        if (script.fails != base::reason::none)
            return base::refusal{script.fails, "scripted", script.run};
        return engine::decode_event{
            engine::decode_event::kind::end,
            0,
            {},
            engine::finish_reason::length};
    }

    base::outcome<engine::decode_event> resume(
        const base::address&, const std::string&, std::uint64_t,
        base::milliseconds, const engine::event_receiver&,
        net::call_canceller&) override {
        return base::refusal{};
    }

    absl::Status
    cancel(const base::address&, const std::string& attempt) override {
        const std::lock_guard lock(mutex);
        if (failing_cancels > 0) {
            --failing_cancels;
            return absl::UnavailableError("scripted");
        }
        cancels.push_back(attempt);
        return absl::OkStatus();
    }

    absl::StatusOr<engine::load_report> report(const base::address&) override {
        return engine::load_report{};
    }

    std::vector<std::string> confirmed_cancels() {
        const std::lock_guard lock(mutex);
        return cancels;
    }

    std::vector<engine::prefill_order> prefills;
    std::vector<engine::decode_order> decodes;
    std::deque<base::refusal> prefill_failures;
    std::deque<decode_script> scripts;
    std::mutex mutex;
    std::vector<std::string> cancels;
    int failing_cancels = 0;
};

} // namespace mintknot::entry::tests

#endif
