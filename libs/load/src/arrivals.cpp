#include <mintknot/load/arrivals.hpp>

#include "prompt_source.hpp"

#include <algorithm>
#include <cmath>
#include <random>

namespace mintknot::load {

namespace {

std::uint64_t length(double median, double spread, std::mt19937_64& random) {
    std::lognormal_distribution<double> draw(std::log(median), spread);
    return static_cast<std::uint64_t>(std::max(1.0, std::round(draw(random))));
}

} // namespace

std::vector<arrival>
make_arrivals(const mix& source, const arrival_options& options) {
    std::mt19937_64 random(options.seed);
    std::exponential_distribution<double> gap(options.per_second);
    std::vector<double> shares;
    for (const mix_part& part : source.parts)
        shares.push_back(part.share);
    std::discrete_distribution<std::size_t> choose(
        shares.begin(), shares.end());
    std::uniform_real_distribution<double> chance(0.0, 1.0);

    std::vector<arrival> arrivals;
    const auto end = static_cast<double>(options.duration.count());
    for (double at = gap(random); at < end; at += gap(random)) {
        arrival next;
        next.at = std::chrono::duration_cast<base::microseconds>(
            std::chrono::duration<double>(at));
        next.part = choose(random);
        const mix_part& part = source.parts[next.part];
        next.prompt = make_prompt(
            part, next.part, arrivals.size() + options.seed * 1'000'000,
            length(part.prompt_tokens, part.prompt_spread, random), random);
        next.max_tokens =
            length(part.output_tokens, part.output_spread, random);
        if (chance(random) < part.cancel_share)
            next.leave_after = 1 + next.max_tokens / 2;
        arrivals.push_back(std::move(next));
    }
    return arrivals;
}

} // namespace mintknot::load
