#include <mintknot/load/call_path.hpp>

#include "token_clock.hpp"

#include <mintknot/base/random.hpp>
#include <mintknot/engine/http_engine.hpp>

#include <atomic>

namespace mintknot::load {

namespace {

constexpr base::milliseconds patience{120000};

class engine_path final : public call_path {
public:
    engine_path(
        std::vector<base::address> prefill, std::vector<base::address> decode,
        std::string model)
        : prefill_(std::move(prefill))
        , decode_(std::move(decode))
        , model_(std::move(model)) {}

    call_record send(const mix_part&, const arrival& call) override {
        call_record record;
        record.part = call.part;
        token_clock clock;
        const std::size_t turn = next_++;
        const std::string attempt = base::random_token();
        net::call_canceller canceller;
        const base::address source = prefill_[turn % prefill_.size()];
        const auto result = engines_.prefill(
            source, {{attempt + "p", "direct", model_, 0}, call.prompt},
            patience, canceller);
        if (!result) {
            record.code = std::string(base::to_string(result.error().code));
            return record;
        }
        engine::decode_order order;
        order.header = {attempt + "d", "direct", model_, 0};
        order.source = source;
        order.handle = result->handle;
        order.prompt_tokens = result->prompt_tokens;
        order.max_tokens = call.max_tokens;
        const auto end = engines_.decode(
            decode_[turn % decode_.size()], order, patience,
            [&](const engine::decode_event& event) {
                if (event.what == engine::decode_event::kind::token)
                    clock.tick();
                return true;
            },
            canceller);
        clock.fill(record);
        record.whole = static_cast<bool>(end);
        if (!end)
            record.code = std::string(base::to_string(end.error().code));
        return record;
    }

private:
    const std::vector<base::address> prefill_;
    const std::vector<base::address> decode_;
    const std::string model_;
    engine::http_engine engines_;
    std::atomic<std::size_t> next_{0};
};

} // namespace

std::unique_ptr<call_path> straight_to_engines(
    std::vector<base::address> prefill, std::vector<base::address> decode,
    std::string model) {
    return std::make_unique<engine_path>(
        std::move(prefill), std::move(decode), std::move(model));
}

} // namespace mintknot::load
