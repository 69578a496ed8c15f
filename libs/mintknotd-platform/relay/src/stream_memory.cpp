/// @file
/// How a generation exchange follows the memory of its stream.

#include "generation_exchange.hpp"

#include <mintknot/policy/capacity_sharing.hpp>
#include <mintknot/policy/engine_needs.hpp>

#include <algorithm>

namespace mintknot::relay {

namespace {

/// Events for which the mean pace of the service counts beside a stream's own.
constexpr double assumed_pace_events = 10.0;
/// Logged if the engine's forecast is not known.
constexpr std::int64_t unknown = -1;

std::size_t occurrences(std::string_view text, std::string_view part) {
    std::size_t count = 0;
    for (std::size_t at = text.find(part); at != std::string_view::npos;
         at = text.find(part, at + part.size()))
        ++count;
    return count;
}

} // namespace

bool generation_exchange::follows_memory() const {
    return context_.state.capacity_sharing && service_.engine &&
           service_.engine->memory_tokens > 0 &&
           policy::has_large_events(service_);
}

policy::output_estimate generation_exchange::output_estimate() const {
    const request_metadata& terms = request_.terms;
    const double tokens = policy::expected_output(
        {terms.prompt_tokens, terms.max_output_tokens,
         terms.expected_output_tokens});
    return {std::max(tokens, 1.0), terms.expected_output_tokens.has_value()};
}

policy::stream_memory generation_exchange::expected_memory() const {
    const policy::output_lengths& learned =
        context_.state.output_lengths[service_.name];
    const base::steady_time now = context_.loop.now();
    const policy::output_estimate estimate = output_estimate();
    policy::stream_memory memory;
    memory.prompt = request_.terms.prompt_tokens;
    memory.tokens_per_event = service_.engine->tokens_per_event;
    const policy::output_forecast forecast =
        policy::forecast_output(learned, route_.name, estimate, now);
    memory.expected = forecast.expected;
    memory.max_output = request_.terms.max_output_tokens;
    memory.tail = forecast.tail;
    memory.events = events_;
    memory.event_time = policy::mean_event_time(learned);
    memory.counted_at = now + policy::mean_first_event_time(
                                  context_.state.demands[service_.name]);
    return memory;
}

void generation_exchange::reserve_decode(const policy::placement& placed) {
    decode_.reserved_tokens = memory_needed();
    decode_.placed_at = context_.loop.now();
    decode_.outlook = placed.outlook;
    if (follows_memory())
        decode_.tracked = track_stream(
            context_,
            {decode_.server, expected_memory(), decode_.reserved_tokens});
    else
        add_load(context_, decode_.server, {1, 0.0, decode_.reserved_tokens});
}

void generation_exchange::count_events(std::string_view events) {
    const base::steady_time now = context_.loop.now();
    events_ += static_cast<double>(
        occurrences(events, "\n\n") + occurrences(events, "\r\n\r\n"));
    policy::stream_memory& memory = (*decode_.tracked)->memory;
    if (!first_event_at_)
        first_event_at_ = now;
    const double mean_ms = static_cast<double>(
        policy::mean_event_time(context_.state.output_lengths[service_.name])
            .count());
    const auto took =
        std::chrono::duration_cast<base::milliseconds>(now - *first_event_at_);
    const double pace =
        (static_cast<double>(took.count()) + assumed_pace_events * mean_ms) /
        (std::max(events_ - 1.0, 0.0) + assumed_pace_events);
    memory.event_time = base::milliseconds(static_cast<std::int64_t>(pace));
    memory.events = events_;
    memory.counted_at = now;
}

void generation_exchange::record_output() {
    if (!decode_.tracked || events_ <= 0.0)
        return;
    const policy::output_estimate estimate = output_estimate();
    const double actual = events_ * service_.engine->tokens_per_event;
    policy::output_lengths& learned =
        context_.state.output_lengths[service_.name];
    const base::steady_time now = context_.loop.now();
    const policy::stream_memory& memory = (*decode_.tracked)->memory;
    const double expected = memory.expected * policy::median_ratio(memory.tail);
    policy::note_output(learned, route_.name, estimate, actual, now);
    if (first_event_at_ && events_ > 1.0)
        policy::note_pace(
            learned, events_ - 1.0,
            std::chrono::duration_cast<base::milliseconds>(
                now - *first_event_at_));
    context_.metrics.observe_output_ratio(actual / estimate.tokens);
    context_.log.write(
        "stream_ended", {{"request", request_.terms.id},
                         {"route", route_.name},
                         {"server", decode_.server},
                         {"estimate", estimate.tokens},
                         {"by_caller", estimate.by_caller},
                         {"expected_output", expected},
                         {"output", actual},
                         {"events", static_cast<std::int64_t>(events_)},
                         {"reserved", decode_.reserved_tokens},
                         {"held", request_.terms.prompt_tokens + actual}});
}

void generation_exchange::add_needs_fields(
    std::vector<logging::log_field>& fields) const {
    if (!follows_memory())
        return;
    const policy::memory_peak peak = policy::forecast_peak(
        {},
        policy::profile_of(
            expected_memory(), memory_needed(), context_.loop.now()),
        context_.loop.now());
    fields.push_back({"own_peak", peak.tokens});
    fields.push_back({"own_peak_in_ms", peak.in.count()});
}

void generation_exchange::add_memory_fields(
    std::vector<logging::log_field>& fields) const {
    if (!decode_.tracked)
        return;
    fields.push_back({"reserved", decode_.reserved_tokens});
    const auto& outlook = decode_.outlook;
    fields.push_back(
        {"forecast_peak",
         outlook ? outlook->peak_tokens : static_cast<double>(unknown)});
    fields.push_back(
        {"peak_in_ms",
         outlook ? std::int64_t{outlook->peak_in.count()} : unknown});
    fields.push_back(
        {"report_age_ms", outlook && outlook->report_age
                              ? std::int64_t{outlook->report_age->count()}
                              : unknown});
}

} // namespace mintknot::relay
