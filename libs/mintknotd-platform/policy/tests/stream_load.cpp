#include "stream_load.hpp"

#include "played_stream.hpp"

#include <mintknot/policy/engine_needs.hpp>
#include <mintknot/policy/memory_profile.hpp>
#include <mintknot/policy/placement.hpp>

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace mintknot::policy::tests {

namespace {

class load_test {
public:
    explicit load_test(const stream_load_options& options)
        : options_(options)
        , random_(options.seed)
        , views_(options.instances > 24 ? 1 : options.instances)
        , lengths_(options.instances)
        , report_at_(options.instances, begin) {
        service_.name = "s";
        service_.max_connections = 100000;
        service_.engine.emplace();
        service_.engine->memory_tokens =
            static_cast<std::uint64_t>(engine_tokens);
        for (std::size_t i = 0; i < options_.engines; ++i) {
            traffic::server row;
            row.id = "e" + std::to_string(i);
            row.service = "s";
            row.slots = slots;
            row.phase = traffic::engine_phase::decode;
            traffic::apply(table_, row.id, i + 1, row);
        }
    }

    stream_load_result run() {
        const double rate = options_.capacity_factor * capacity();
        while (now_ < begin + duration) {
            now_ += tick;
            advance();
            preempt();
            report();
            std::poisson_distribution<int> arrivals(
                rate * std::chrono::duration<double>(tick).count());
            for (int i = arrivals(random_); i > 0; --i)
                queue_.push_back(draw_stream());
            place_queued();
        }
        return result_;
    }

private:
    double draw() {
        return std::uniform_real_distribution<double>(0.0, 1.0)(random_);
    }

    double draw_size(double mean, double most) {
        std::lognormal_distribution<double> size(std::log(mean) - 0.125, 0.5);
        return std::min(size(random_), most);
    }

    stream draw_stream() {
        stream made;
        made.prompt = draw_size(5200.0, 11200.0);
        made.length = std::ceil(draw_size(70.0, max_events));
        std::normal_distribution<double> error(0.0, 0.5);
        made.hint = made.length * event_tokens * options_.estimate_factor *
                    std::exp(error(random_));
        made.instance = static_cast<std::size_t>(
            draw() * static_cast<double>(options_.instances));
        made.arrived = now_;
        made.counted = now_ > begin + warm_up;
        made.large = made.prompt + event_tokens * made.length > large_size_;
        if (made.counted) {
            ++result_.streams;
            result_.large += made.large ? 1 : 0;
        }
        return made;
    }

    /// @return the streams per second that the memory of all engines serves;
    /// also sets the size of the largest tenth.
    double capacity() {
        double taken = 0.0;
        std::vector<double> sizes;
        constexpr int samples = 20000;
        for (int i = 0; i < samples; ++i) {
            const stream drawn = draw_stream();
            const double output = event_tokens * drawn.length;
            const double seconds =
                drawn.length *
                std::chrono::duration<double>(event_time).count();
            taken += (drawn.prompt + output / 2.0) * seconds;
            sizes.push_back(drawn.prompt + output);
        }
        std::sort(sizes.begin(), sizes.end());
        large_size_ = sizes[samples * 9 / 10];
        return static_cast<double>(options_.engines) * engine_tokens * samples /
               taken;
    }

    stream_memory memory_of(const stream& one) const {
        const output_lengths& learned = lengths_[one.instance];
        stream_memory memory;
        memory.prompt = one.prompt;
        memory.tokens_per_event = event_tokens;
        memory.max_output = max_events * event_tokens;
        const output_forecast forecast = forecast_output(
            learned, "r", {std::min(memory.max_output, one.hint), true}, now_);
        memory.expected = forecast.expected;
        memory.tail = forecast.tail;
        memory.event_time = event_time;
        memory.events = one.events;
        memory.counted_at = one.server.empty() ? now_ + first_event_time
                                               : std::max(now_, one.begins);
        return memory;
    }

    placement_query query_for(const stream& one) const {
        placement_query query;
        query.service = "s";
        query.kind = placement_kind::decode;
        query.memory_tokens =
            memory_needed({one.prompt, max_events * event_tokens, one.hint});
        if (options_.rule == memory_rule::profile)
            query.profile =
                profile_of(memory_of(one), query.memory_tokens, now_);
        return query;
    }

    bool place_by_oracle(stream& one) {
        std::vector<std::string> free;
        for (const auto& [id, row] : table_.by_id)
            if (has_slot(id))
                free.push_back(id);
        one.begins = now_ + first_event_time;
        one.server = oracle_.place(one, one.begins, free);
        return !one.server.empty();
    }

    bool place(stream& one) {
        if (options_.rule == memory_rule::oracle)
            return place_by_oracle(one);
        traffic::load_view& view = views_[one.instance % views_.size()];
        traffic::expire(view, now_);
        selection_inputs inputs{
            table_,
            view,
            health_,
            rates_,
            service_,
            "",
            options_.instances,
            now_,
            [this] { return draw(); }};
        inputs.all_loads_known = views_.size() == 1;
        const placement_query query = query_for(one);
        const placement placed = choose_servers(inputs, query);
        if (placed.server.empty() || !has_slot(placed.server))
            return false;
        const traffic::load_map loads = placed_loads(placed, query);
        traffic::add_to_peer(view, std::to_string(one.instance), loads, now_);
        one.server = placed.server;
        one.load = loads.at(placed.server);
        one.begins = now_ + first_event_time;
        return true;
    }

    /// An engine without a free slot rejects a stream that another instance has
    /// taken for it.
    bool has_slot(const std::string& server) const {
        return std::count_if(
                   running_.begin(), running_.end(), [&](const stream& one) {
                       return one.server == server;
                   }) < slots;
    }

    void place_queued() {
        std::deque<stream> waiting;
        for (stream& one : queue_) {
            const bool due = (now_ - one.arrived) % retry_interval ==
                             base::steady_time::duration{0};
            if (due && place(one)) {
                if (one.counted) {
                    ++result_.started;
                    ++result_.in_target;
                    result_.large_started += one.large ? 1 : 0;
                }
                running_.push_back(std::move(one));
            } else if (now_ - one.arrived < longest_wait) {
                waiting.push_back(std::move(one));
            }
        }
        queue_ = std::move(waiting);
    }

    void advance() {
        std::erase_if(running_, [this](stream& one) {
            if (one.paused || now_ < one.begins)
                return false;
            one.events += std::chrono::duration<double>(tick) /
                          std::chrono::duration<double>(event_time);
            if (one.events < one.length)
                return false;
            note_output(
                lengths_[one.instance], "r",
                {std::min(one.hint, max_events * event_tokens), true},
                event_tokens * one.length, now_);
            report_at_[one.instance] =
                std::min(report_at_[one.instance], now_ + report_delay);
            return true;
        });
    }

    /// Streams in the order in which they began on each engine.
    void preempt() {
        std::map<std::string, double> held;
        for (stream& one : running_) {
            if (one.begins > now_)
                continue;
            double& sum = held[one.server];
            one.paused = sum + one.held() > engine_tokens;
            sum += one.paused ? 0.0 : one.held();
            if (!one.paused || one.preempted)
                continue;
            one.preempted = true;
            result_.preempted += one.counted ? 1 : 0;
            result_.in_target -= one.counted ? 1 : 0;
        }
    }

    void report() {
        if (options_.views_lost_at >= milliseconds{0} &&
            now_ - tick < begin + options_.views_lost_at &&
            now_ >= begin + options_.views_lost_at)
            views_.assign(views_.size(), {});
        std::vector<traffic::load_map> loads(options_.instances);
        std::vector<bool> due(options_.instances);
        for (std::size_t i = 0; i < due.size(); ++i)
            due[i] = report_at_[i] <= now_;
        for (stream& one : running_)
            if (due[one.instance] || views_.size() > 1)
                loads[one.instance][one.server] += current_load(one);
        for (std::size_t i = 0; i < due.size(); ++i)
            send_report(i, loads[i], due[i]);
    }

    traffic::server_load current_load(const stream& one) const {
        traffic::server_load load = one.load;
        if (options_.rule == memory_rule::profile)
            load.profile = profile_of(memory_of(one), load.memory_tokens, now_);
        return load;
    }

    /// Without schedulers an instance knows its own load exactly.
    void
    send_report(std::size_t from, const traffic::load_map& loads, bool due) {
        for (std::size_t i = 0; i < views_.size(); ++i) {
            const bool own = views_.size() > 1 && i == from;
            const bool lost = !own && draw() < options_.lost_reports;
            if (own || (due && !lost))
                traffic::set_peer(views_[i], std::to_string(from), loads, now_);
        }
        if (due)
            report_at_[from] =
                now_ + (views_.size() > 1 ? report_delay : report_interval);
    }

    stream_load_options options_;
    std::minstd_rand random_;
    traffic::service service_;
    traffic::server_table table_;
    health_view health_;
    prefill_rates rates_;
    std::vector<traffic::load_view> views_;
    std::vector<output_lengths> lengths_;
    std::vector<base::steady_time> report_at_;
    known_memory oracle_;
    std::deque<stream> queue_;
    std::vector<stream> running_;
    base::steady_time now_ = begin;
    double large_size_ = 0.0;
    stream_load_result result_;
};

} // namespace

stream_load_result play_stream_load(const stream_load_options& options) {
    return load_test(options).run();
}

} // namespace mintknot::policy::tests
