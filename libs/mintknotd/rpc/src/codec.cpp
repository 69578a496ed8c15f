#include "codec.hpp"

#include <algorithm>

namespace mintknot::rpc {

namespace {

std::uint32_t to_wire_ms(base::milliseconds value) {
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(
        value.count(), 0, std::numeric_limits<std::int32_t>::max()));
}

base::address address_from(const std::string& text) {
    return base::parse_address(text).value_or(base::address{});
}

} // namespace

void fill(wire::refusal& target, const base::refusal& source) {
    target.set_code(static_cast<std::uint32_t>(source.code));
    target.set_sentence(source.sentence);
    target.set_run(static_cast<std::uint32_t>(source.run));
    target.set_retry_after_ms(to_wire_ms(source.retry_after));
}

base::refusal refusal_from(const wire::refusal& source) {
    constexpr auto last_code =
        static_cast<std::uint32_t>(base::reason::internal);
    constexpr auto last_run = static_cast<std::uint32_t>(base::verdict::ran);
    base::refusal result;
    result.code = static_cast<base::reason>(std::min(source.code(), last_code));
    result.sentence = source.sentence();
    // An unknown verdict of a newer instance must not read as "not run".
    result.run = source.run() > last_run
                     ? base::verdict::may_have_run
                     : static_cast<base::verdict>(source.run());
    result.retry_after = base::milliseconds{source.retry_after_ms()};
    return result;
}

void fill(wire::place_query& target, const routing::place_query& source) {
    target.set_request(source.request);
    target.set_attempt(source.attempt);
    target.set_service(source.service);
    target.set_request_class(source.request_class);
    target.set_organisation(source.organisation);
    target.set_prompt_tokens(source.prompt_tokens);
    target.set_max_tokens(source.max_tokens);
    for (const base::prefix_hash& prefix : source.prefix) {
        auto* item = target.add_prefix();
        item->set_blocks(prefix.blocks);
        item->set_hash(prefix.hash);
    }
    for (const std::string& engine : source.excluded)
        target.add_excluded(engine);
    target.set_time_left_ms(to_wire_ms(source.time_left));
    target.set_prefilled_on(source.prefilled_on);
    target.set_may_wait(source.may_wait);
}

routing::place_query query_from(const wire::place_query& source) {
    routing::place_query result;
    result.request = source.request();
    result.attempt = source.attempt();
    result.service = source.service();
    result.request_class = source.request_class();
    result.organisation = source.organisation();
    result.prompt_tokens = std::max<std::uint64_t>(source.prompt_tokens(), 1);
    result.max_tokens = source.max_tokens();
    for (const wire::prefix_hash& prefix : source.prefix())
        result.prefix.push_back({prefix.blocks(), prefix.hash()});
    for (const std::string& engine : source.excluded())
        result.excluded.push_back(engine);
    result.time_left = base::milliseconds{source.time_left_ms()};
    result.prefilled_on = source.prefilled_on();
    result.may_wait = source.may_wait();
    return result;
}

void fill(wire::place_answer& target, const placed_request& source) {
    target.set_placed(!source.refused.has_value());
    target.set_record(source.record);
    if (source.refused) {
        fill(*target.mutable_refused(), *source.refused);
        return;
    }
    target.set_attempt(source.attempt);
    target.set_prefill_name(source.prefill_name);
    target.set_prefill_at(base::to_string(source.prefill_at));
    target.set_decode_name(source.decode_name);
    target.set_decode_at(base::to_string(source.decode_at));
    target.set_cached_tokens(source.cached_tokens);
}

placed_request answer_from(const wire::place_answer& source) {
    placed_request result;
    result.record = source.record();
    if (!source.placed()) {
        result.refused = refusal_from(source.refused());
        return result;
    }
    result.attempt = source.attempt();
    result.prefill_name = source.prefill_name();
    result.prefill_at = address_from(source.prefill_at());
    result.decode_name = source.decode_name();
    result.decode_at = address_from(source.decode_at());
    result.cached_tokens = source.cached_tokens();
    return result;
}

} // namespace mintknot::rpc
