#include <mintknot/engine/http_engine.hpp>
#include <mintknot/standins/fake_engine.hpp>
#include <mintknot/standins/prompt_writer.hpp>

#include <criterion/criterion.h>

using namespace mintknot;

namespace {

const std::string prompt = "Compressor 7 loses pressure after a cold start.";

engine::order_header header(const std::string& attempt) {
    return {attempt, "dc1.e.1", "m", 0};
}

/// Two engines and a client: prefill on the first, decode on the second.
struct pair_of_engines {
    explicit pair_of_engines(const standins::engine_options& options = {})
        : prefiller(options)
        , decoder(options)
        , prefill_at{"127.0.0.1", *prefiller.start({"127.0.0.1", 0})}
        , decode_at{"127.0.0.1", *decoder.start({"127.0.0.1", 0})} {}

    base::outcome<engine::prefill_result> prefill() {
        return client.prefill(
            prefill_at, {header("a-p"), prompt}, base::milliseconds{2000},
            canceller);
    }
    engine::decode_order order_for(const engine::prefill_result& result) const {
        return {header("a-d"),        prefill_at, result.handle,
                result.prompt_tokens, 20,         0};
    }
    std::vector<std::string> decode(const engine::decode_order& order) {
        std::vector<std::string> tokens;
        const auto end = client.decode(
            decode_at, order, base::milliseconds{2000},
            [&](const engine::decode_event& event) {
                if (event.what == engine::decode_event::kind::token)
                    tokens.push_back(event.text);
                return true;
            },
            canceller);
        if (!end)
            tokens.clear();
        return tokens;
    }

    standins::fake_engine prefiller;
    standins::fake_engine decoder;
    base::address prefill_at;
    base::address decode_at;
    engine::http_engine client;
    net::call_canceller canceller;
};

} // namespace

Test(fake_engine, prefill_export_import_decode) {
    pair_of_engines engines;
    const auto result = engines.prefill();
    cr_assert(static_cast<bool>(result));
    const auto tokens = engines.decode(engines.order_for(*result));
    cr_assert(tokens == standins::expected_answer(prompt, 20));
    cr_assert_eq(engines.prefiller.model().truth().kv_used, 0U);
    cr_assert_eq(engines.decoder.model().truth().kv_used, 0U);
    cr_assert_eq(
        engines.prefiller.model().truth().exported, result->prompt_tokens);
}

Test(fake_engine, a_continued_prompt_goes_on_as_the_stream_did) {
    const auto whole = standins::expected_answer(prompt, 20);
    std::string longer = prompt;
    for (std::size_t i = 0; i < 5; ++i)
        longer += whole[i];
    const auto rest = standins::expected_answer(longer, 15);
    cr_assert(std::equal(rest.begin(), rest.end(), whole.begin() + 5));
}

Test(fake_engine, a_cancelled_result_holds_no_memory) {
    pair_of_engines engines;
    const auto result = engines.prefill();
    cr_assert(engines.client.cancel(engines.prefill_at, "a-p").ok());
    cr_assert_eq(engines.prefiller.model().truth().kv_used, 0U);
    cr_assert(engines.decode(engines.order_for(*result)).empty());
    cr_assert_eq(engines.decoder.model().truth().kv_used, 0U);
}

Test(fake_engine, rejects_what_does_not_fit) {
    standins::engine_options options;
    options.kv_capacity = 25;
    pair_of_engines engines(options);
    const auto result = engines.prefill();
    cr_assert(static_cast<bool>(result));
    auto order = engines.order_for(*result);
    order.max_tokens = 100;
    const auto end = engines.client.decode(
        engines.decode_at, order, base::milliseconds{500},
        [](const auto&) { return true; }, engines.canceller);
    cr_assert(!end);
    cr_assert(end.error().run == base::verdict::not_run);
}
