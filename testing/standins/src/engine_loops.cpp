#include "engine_state.hpp"

#include <mintknot/base/random.hpp>

#include <algorithm>

namespace mintknot::standins {

namespace {

constexpr base::milliseconds housekeeping_period{20};

} // namespace

std::shared_ptr<prefill_job> engine_model::impl::next_job() {
    std::shared_ptr<prefill_job> best;
    for (const auto& [attempt, job] : jobs) {
        if (job->running || kv_used + job->tokens > options.kv_capacity)
            continue;
        const int priority = job->order.header.priority;
        if (!best || priority > best->order.header.priority ||
            (priority == best->order.header.priority &&
             job->queue_number < best->queue_number))
            best = job;
    }
    return best;
}

void engine_model::impl::prefill_loop() {
    std::unique_lock lock(mutex);
    while (!stopping) {
        auto job = next_job();
        if (!job) {
            work_ready.wait_for(lock, housekeeping_period);
            continue;
        }
        run_job(lock, job);
    }
}

void engine_model::impl::run_job(
    std::unique_lock<std::mutex>& lock,
    const std::shared_ptr<prefill_job>& job) {
    job->running = true;
    kv_used += job->tokens;
    const auto hashes = base::block_hashes(job->order.prompt);
    const std::uint64_t cached = std::min<std::uint64_t>(
        cache.match(hashes) * base::block_tokens, job->tokens);
    const std::uint64_t computed = job->tokens - cached;
    const fractional_ms wanted(
        1000.0 * static_cast<double>(computed) /
        options.prefill_tokens_per_second);
    const auto begin = steady_clock::now();
    const auto end =
        begin + std::chrono::duration_cast<steady_clock::duration>(wanted);
    job->changed.wait_until(
        lock, end, [&] { return job->cancelled || stopping; });

    queued_prefill -= job->tokens;
    jobs.erase(job->order.header.attempt);
    prefill_end result;
    if (job->cancelled || stopping) {
        // What was computed so far is lost.
        const double share =
            wanted.count() > 0
                ? fractional_ms(steady_clock::now() - begin) / wanted
                : 1.0;
        const auto lost = static_cast<std::uint64_t>(
            static_cast<double>(computed) * std::clamp(share, 0.0, 1.0));
        counters.prefilled += lost;
        counters.cancelled += lost;
        kv_used -= job->tokens;
        result.end = prefill_end::state::cancelled;
        result.error = "cancelled";
    } else {
        counters.prefilled += computed;
        counters.cached += cached;
        cache.store(hashes);
        const std::string handle = base::random_token();
        results[handle] = {
            job->order.header.attempt,
            job->order.header.holder,
            job->taken_at,
            job->order.prompt,
            job->tokens,
            computed,
            steady_clock::now() + options.result_kept};
        result.end = prefill_end::state::done;
        result.result = {handle, job->tokens, cached, options.result_kept};
    }
    job->end = std::move(result);
    job->changed.notify_all();
}

std::size_t engine_model::impl::running() const {
    return static_cast<std::size_t>(
        std::count_if(streams.begin(), streams.end(), [](const auto& entry) {
            return entry.second->state == stream::phase::running;
        }));
}

void engine_model::impl::decode_loop() {
    std::unique_lock lock(mutex);
    while (!stopping) {
        const std::size_t batch = running();
        if (batch == 0) {
            work_ready.wait_for(lock, housekeeping_period);
            continue;
        }
        last_step_ms = options.step_ms + options.step_ms_per_sequence *
                                             static_cast<double>(batch);
        const auto until = steady_clock::now() +
                           std::chrono::duration_cast<steady_clock::duration>(
                               fractional_ms(last_step_ms));
        lock.unlock();
        std::this_thread::sleep_until(until);
        lock.lock();
        step();
    }
}

void engine_model::impl::step() {
    for (auto& [attempt, entry] : streams) {
        if (entry->state != stream::phase::running)
            continue;
        std::string token = entry->writer->next();
        if (token.empty()) {
            entry->finish = engine::finish_reason::stop;
            finish_stream(*entry, stream::phase::finished);
            continue;
        }
        entry->tokens.push_back(std::move(token));
        ++counters.decoded;
        if (entry->tokens.size() >= entry->order.max_tokens) {
            entry->finish = engine::finish_reason::length;
            finish_stream(*entry, stream::phase::finished);
        }
        entry->changed.notify_all();
    }
}

void engine_model::impl::finish_stream(stream& entry, stream::phase state) {
    entry.state = state;
    kv_used -= entry.reserved;
    entry.reserved = 0;
    entry.changed.notify_all();
    work_ready.notify_all();
}

void engine_model::impl::drop_result(
    std::map<std::string, kept_result>::iterator position) {
    kv_used -= position->second.tokens;
    results.erase(position);
    work_ready.notify_all();
}

void engine_model::impl::housekeeping_loop() {
    std::unique_lock lock(mutex);
    while (!stopping) {
        const auto now = steady_clock::now();
        for (auto position = results.begin(); position != results.end();) {
            const auto current = position++;
            if (current->second.exporting || current->second.expires > now)
                continue;
            counters.expired += current->second.computed;
            drop_result(current);
        }
        if (now - report_time >= options.report_lag) {
            shown_report = current_report();
            report_time = now;
        }
        work_ready.wait_for(lock, housekeeping_period);
    }
}

engine::load_report engine_model::impl::current_report() const {
    const auto now = steady_clock::now();
    engine::load_report report;
    report.incarnation = incarnation;
    report.kv_used = kv_used;
    report.kv_capacity = options.kv_capacity;
    report.running = running();
    report.queued_prefill = queued_prefill;
    report.step_ms = last_step_ms;
    report.leaving = leaving;
    const auto age = [now](steady_time since) {
        return std::chrono::duration_cast<base::milliseconds>(now - since);
    };
    for (const auto& [attempt, job] : jobs)
        report.streams.push_back(
            {attempt, job->order.header.holder, false, age(job->taken_at)});
    for (const auto& [handle, result] : results)
        report.streams.push_back(
            {result.attempt, result.holder, false, age(result.taken_at)});
    for (const auto& [attempt, entry] : streams) {
        const bool read = entry->readers > 0;
        const auto unread =
            read ? base::milliseconds{0}
                 : std::chrono::duration_cast<base::milliseconds>(
                       now - entry->unread_since);
        report.streams.push_back(
            {attempt, entry->order.header.holder, read, unread,
             entry->order.header.organisation});
    }
    return report;
}

} // namespace mintknot::standins
