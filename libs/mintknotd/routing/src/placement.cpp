#include <mintknot/routing/placement.hpp>

#include <mintknot/base/random.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <limits>

namespace mintknot::routing {

namespace {

/// Cost of a predicted miss of a target.
constexpr double missed_target_cost = 4.0;
/// Weight of memory pressure, so that equal engines fill evenly.
constexpr double fullness_weight = 0.2;
constexpr double default_step_ms = 10.0;
constexpr double ms_per_second = 1000.0;
/// Candidates kept for the record.
constexpr std::size_t most_recorded = 8;

/// The best engine for one step.
struct step_choice {
    std::optional<engine_number> engine;
    double cost = std::numeric_limits<double>::infinity();
    double predicted_ms = 0.0;
    std::uint64_t cached_tokens = 0;
};

bool is_excluded(const place_query& query, const engine_entry& engine) {
    return std::find(
               query.excluded.begin(), query.excluded.end(), engine.name) !=
           query.excluded.end();
}

double latency_cost(double predicted_ms, base::milliseconds target) {
    const double relative =
        predicted_ms /
        static_cast<double>(std::max<std::int64_t>(target.count(), 1));
    return relative > 1.0 ? relative + missed_target_cost : relative;
}

double wait_and_prefill_ms(const engine_entry& engine, double uncached) {
    // The report lags; our own count of placed work does not.
    const auto queued = static_cast<double>(
        std::max(engine.pending_prefill, engine.load.queued_prefill));
    return ms_per_second * (queued + uncached) / engine.prefill_rate;
}

double transfer_ms(const engine_entry& engine, double prompt_tokens) {
    const double sharing = 1.0 + engine.exporting;
    return ms_per_second * prompt_tokens * sharing /
           engine.link_tokens_per_second;
}

double step_ms(const engine_entry& engine) {
    const auto running = static_cast<double>(
        std::max<std::uint64_t>(engine.load.running, engine.decoding));
    return predict(engine.step_time, running + 1.0, default_step_ms);
}

/// One option, with the figures that its note is made of. Notes are written
/// only for the options that are recorded: text costs more than the choice.
struct weighed_option {
    enum class kind { prefill, decode, out_of_memory, ruled_out };

    kind what = kind::ruled_out;
    engine_number engine = 0;
    double cost = std::numeric_limits<double>::max();
    double first = 0.0;
    double second = 0.0;
    std::string_view why;
};

std::string note_of(const weighed_option& option, double prompt_tokens) {
    switch (option.what) {
    case weighed_option::kind::prefill:
        return fmt::format(
            "queue, prefill and transfer {:.0f} ms, {:.0f} of {:.0f} tokens "
            "cached",
            option.first, option.second, prompt_tokens);
    case weighed_option::kind::decode:
        return fmt::format(
            "{:.1f} ms per token, {:.0f}% of the memory used", option.first,
            100.0 * option.second);
    case weighed_option::kind::out_of_memory:
        return fmt::format(
            "{:.0f} tokens free, {:.0f} needed", option.first, option.second);
    case weighed_option::kind::ruled_out:
        return std::string(option.why);
    }
    return {};
}

std::string_view step_of(weighed_option::kind what) {
    if (what == weighed_option::kind::prefill)
        return "prefill";
    return what == weighed_option::kind::ruled_out ? "any" : "decode";
}

/// @return the best options as they are recorded; those ruled out come last.
std::vector<audit::candidate> best_of(
    std::vector<weighed_option>& options, const engine_table& table,
    double prompt_tokens) {
    const std::size_t kept = std::min(most_recorded, options.size());
    std::partial_sort(
        options.begin(), options.begin() + static_cast<std::ptrdiff_t>(kept),
        options.end(),
        [](const auto& x, const auto& y) { return x.cost < y.cost; });
    std::vector<audit::candidate> result;
    result.reserve(kept);
    for (std::size_t i = 0; i < kept; ++i)
        result.push_back(
            {fmt::format(
                 "{} {}", step_of(options[i].what),
                 table.engines[options[i].engine].name),
             options[i].cost, note_of(options[i], prompt_tokens)});
    return result;
}

/// Weighs one request against all engines.
class chooser {
public:
    chooser(
        const engine_table& table, const place_query& query,
        const place_goal& goal, base::steady_time now)
        : table_(table)
        , query_(query)
        , goal_(goal)
        , now_(now) {
        options_.reserve(2 * table.engines.size());
    }

    void weigh(engine_number number, std::uint32_t cached_blocks);
    place_choice result();

private:
    void weigh_prefill(engine_number number, std::uint32_t cached_blocks);
    void weigh_decode(engine_number number);
    place_choice none() const;
    std::vector<audit::candidate> recorded() {
        return best_of(
            options_, table_, static_cast<double>(query_.prompt_tokens));
    }

    const engine_table& table_;
    const place_query& query_;
    const place_goal& goal_;
    base::steady_time now_;
    step_choice prefill_;
    step_choice decode_;
    std::size_t usable_prefill_ = 0;
    std::size_t usable_decode_ = 0;
    std::size_t out_of_memory_ = 0;
    std::vector<weighed_option> options_;
};

void chooser::weigh(engine_number number, std::uint32_t cached_blocks) {
    const engine_entry& engine = table_.engines[number];
    // A kept result can be read from an engine that takes no new work.
    if (engine.name == query_.prefilled_on)
        weigh_prefill(number, cached_blocks);
    if (!engine.listed)
        return;
    std::string_view unusable = unusable_because(engine, now_);
    if (unusable.empty() && is_excluded(query_, engine))
        unusable = "failed this request before";
    if (!unusable.empty()) {
        weighed_option option;
        option.engine = number;
        option.why = unusable;
        options_.push_back(option);
        return;
    }
    if (query_.prefilled_on.empty() && can_prefill(engine))
        weigh_prefill(number, cached_blocks);
    if (can_decode(engine))
        weigh_decode(number);
}

void chooser::weigh_prefill(engine_number number, std::uint32_t cached_blocks) {
    const engine_entry& engine = table_.engines[number];
    ++usable_prefill_;
    const std::uint64_t cached = std::min<std::uint64_t>(
        std::uint64_t{cached_blocks} * base::block_tokens,
        query_.prompt_tokens);
    const auto prompt = static_cast<double>(query_.prompt_tokens);
    const double uncached = static_cast<double>(query_.prompt_tokens - cached);
    const bool kept = !query_.prefilled_on.empty();
    const double wait_ms = kept ? 0.0 : wait_and_prefill_ms(engine, uncached);
    const double predicted = wait_ms + transfer_ms(engine, prompt);

    const double cost =
        goal_.weights.goodput * latency_cost(predicted, goal_.first_token) +
        goal_.weights.wasted_prefill * uncached / prompt;
    options_.push_back(
        {weighed_option::kind::prefill,
         number,
         cost,
         predicted,
         static_cast<double>(cached),
         {}});
    if (cost < prefill_.cost)
        prefill_ = {number, cost, predicted, cached};
}

void chooser::weigh_decode(engine_number number) {
    const engine_entry& engine = table_.engines[number];
    ++usable_decode_;
    const std::uint64_t wanted = query_.prompt_tokens + query_.max_tokens;
    const std::uint64_t free = free_memory(engine);
    weighed_option option;
    option.engine = number;
    if (free < wanted) {
        ++out_of_memory_;
        option.what = weighed_option::kind::out_of_memory;
        option.first = static_cast<double>(free);
        option.second = static_cast<double>(wanted);
        options_.push_back(option);
        return;
    }
    option.what = weighed_option::kind::decode;
    option.first = step_ms(engine);
    option.second = 1.0 - static_cast<double>(free - wanted) /
                              static_cast<double>(engine.load.kv_capacity);
    option.cost =
        goal_.weights.goodput * latency_cost(option.first, goal_.per_token) +
        fullness_weight * option.second;
    options_.push_back(option);
    if (option.cost < decode_.cost)
        decode_ = {number, option.cost, option.first, 0};
}

place_choice chooser::none() const {
    place_choice choice;
    if (usable_prefill_ == 0 || usable_decode_ == 0) {
        choice.code = base::reason::no_engine;
        choice.sentence = fmt::format(
            "no usable {} engine of the service is known",
            usable_prefill_ == 0 ? "prefill" : "decode");
        return choice;
    }
    choice.code = base::reason::no_capacity;
    choice.sentence = fmt::format(
        "{} of {} decode engines lack memory for {} tokens", out_of_memory_,
        usable_decode_, query_.prompt_tokens + query_.max_tokens);
    return choice;
}

place_choice chooser::result() {
    if (!prefill_.engine || !decode_.engine) {
        place_choice choice = none();
        choice.candidates = recorded();
        return choice;
    }
    place_choice choice;
    choice.chosen = placement{
        *prefill_.engine, *decode_.engine, prefill_.cached_tokens,
        prefill_.predicted_ms + decode_.predicted_ms, decode_.predicted_ms};
    choice.candidates = recorded();
    choice.sentence = fmt::format(
        "prefill on {}, decode on {}: first token expected in {:.0f} ms, then "
        "{:.1f} ms per token",
        table_.engines[*prefill_.engine].name,
        table_.engines[*decode_.engine].name, choice.chosen->first_token_ms,
        choice.chosen->per_token_ms);
    return choice;
}

/// @return the better of two random ones by a lower load.
template<class Load>
std::optional<engine_number>
better_of_two(const std::vector<engine_number>& usable, Load load) {
    if (usable.empty())
        return std::nullopt;
    const engine_number first = usable[base::random_below(usable.size())];
    const engine_number second = usable[base::random_below(usable.size())];
    return load(first) <= load(second) ? first : second;
}

} // namespace

place_choice choose(
    const engine_table& table, const prefix_index& prefixes,
    const place_query& query, const place_goal& goal, base::steady_time now) {
    chooser weighing(table, query, goal, now);
    const auto cached =
        prefixes.cached_blocks(query.prefix, table.engines.size());
    for (engine_number number = 0; number < table.engines.size(); ++number)
        weighing.weigh(number, cached[number]);
    return weighing.result();
}

place_choice choose_alone(
    const engine_table& table, const place_query& query,
    base::steady_time now) {
    std::vector<engine_number> prefill;
    std::vector<engine_number> decode;
    const std::uint64_t wanted = query.prompt_tokens + query.max_tokens;
    for (engine_number number = 0; number < table.engines.size(); ++number) {
        const engine_entry& engine = table.engines[number];
        if (!unusable_because(engine, now).empty() ||
            is_excluded(query, engine))
            continue;
        if (can_prefill(engine))
            prefill.push_back(number);
        if (can_decode(engine) && free_memory(engine) >= wanted)
            decode.push_back(number);
    }
    place_choice choice;
    const auto chosen_prefill =
        better_of_two(prefill, [&](engine_number number) {
            return table.engines[number].load.queued_prefill;
        });
    const auto chosen_decode = better_of_two(decode, [&](engine_number number) {
        return table.engines[number].load.kv_used;
    });
    if (!chosen_prefill || !chosen_decode) {
        choice.code = base::reason::no_engine;
        choice.sentence = "without a scheduler: no engine with room is known";
        return choice;
    }
    choice.chosen = placement{*chosen_prefill, *chosen_decode};
    choice.sentence = fmt::format(
        "without a scheduler: prefill on {}, decode on {}, each the better of "
        "two random ones",
        table.engines[*chosen_prefill].name,
        table.engines[*chosen_decode].name);
    return choice;
}

} // namespace mintknot::routing
