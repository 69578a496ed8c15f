#include <mintknot/standins/engine_model.hpp>

#include <mintknot/base/prompt_blocks.hpp>
#include <mintknot/base/random.hpp>
#include <mintknot/standins/prefix_cache.hpp>
#include <mintknot/standins/prompt_writer.hpp>

#include <algorithm>
#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <thread>

namespace mintknot::standins {

namespace {

using base::steady_clock;
using base::steady_time;
using engine::decode_event;
using fractional_ms = std::chrono::duration<double, std::milli>;

constexpr base::milliseconds export_tick{2};
constexpr base::milliseconds housekeeping_period{20};

struct prefill_job {
    engine::prefill_order order;
    std::uint64_t tokens = 0;
    std::uint64_t queue_number = 0;
    steady_time taken_at = steady_clock::now();
    bool running = false;
    bool cancelled = false;
    std::optional<prefill_end> end;
    std::condition_variable changed;
};

struct kept_result {
    std::string attempt;
    std::string holder;
    steady_time taken_at;
    std::string prompt;
    std::uint64_t tokens = 0;
    std::uint64_t computed = 0;
    steady_time expires;
    bool exporting = false;
};

struct stream {
    enum class phase { importing, running, finished, failed };

    engine::decode_order order;
    phase state = phase::importing;
    std::uint64_t reserved = 0; ///< Tokens of KV memory.
    std::uint64_t progress = 0;
    std::optional<prompt_writer> writer;
    std::vector<std::string> tokens;
    engine::finish_reason finish = engine::finish_reason::none;
    std::string error;
    int readers = 0;
    steady_time unread_since;
    std::condition_variable changed;

    bool ended() const {
        return state == phase::finished || state == phase::failed;
    }
};

} // namespace

struct engine_model::impl {
    explicit impl(const engine_options& chosen)
        : options(chosen)
        , cache(
              chosen.prefix_cache_tokens / base::block_tokens,
              chosen.event_delay, chosen.lose_event_every) {}

    const engine_options options;
    const std::uint64_t incarnation =
        static_cast<std::uint64_t>(base::wall_now().time_since_epoch().count());

    mutable std::mutex mutex;
    std::condition_variable work_ready; ///< For both loops.
    bool stopping = false;
    bool leaving = false;
    std::uint64_t kv_used = 0;
    std::uint64_t queued_prefill = 0;
    std::uint64_t next_queue_number = 0;
    int exports = 0;
    double last_step_ms = 0;
    std::map<std::string, std::shared_ptr<prefill_job>> jobs; ///< By attempt.
    std::map<std::string, kept_result> results;               ///< By handle.
    std::map<std::string, std::shared_ptr<stream>> streams;   ///< By attempt.
    prefix_cache cache;
    engine_truth counters;
    engine_assignment assigned;
    engine::load_report shown_report;
    steady_time report_time;

    std::thread prefill_thread;
    std::thread decode_thread;
    std::thread housekeeping_thread;

    void prefill_loop();
    void run_job(
        std::unique_lock<std::mutex>& lock,
        const std::shared_ptr<prefill_job>& job);
    std::shared_ptr<prefill_job> next_job();
    void decode_loop();
    void step();
    void housekeeping_loop();
    void drop_result(std::map<std::string, kept_result>::iterator position);
    void finish_stream(stream& entry, stream::phase state);
    engine::load_report current_report() const;
    std::size_t running() const;
};

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
            {attempt, entry->order.header.holder, read, unread});
    }
    return report;
}

engine_model::engine_model(const engine_options& options)
    : impl_(std::make_unique<impl>(options)) {
    impl_->shown_report = impl_->current_report();
    impl_->prefill_thread = std::thread([this] { impl_->prefill_loop(); });
    impl_->decode_thread = std::thread([this] { impl_->decode_loop(); });
    impl_->housekeeping_thread =
        std::thread([this] { impl_->housekeeping_loop(); });
}

engine_model::~engine_model() {
    {
        const std::lock_guard lock(impl_->mutex);
        impl_->stopping = true;
        impl_->work_ready.notify_all();
        for (auto& [attempt, job] : impl_->jobs)
            job->changed.notify_all();
        for (auto& [attempt, entry] : impl_->streams)
            entry->changed.notify_all();
    }
    impl_->prefill_thread.join();
    impl_->decode_thread.join();
    impl_->housekeeping_thread.join();
}

prefill_end engine_model::prefill(const engine::prefill_order& order) {
    auto job = std::make_shared<prefill_job>();
    job->order = order;
    job->tokens = base::count_tokens(order.prompt);

    std::unique_lock lock(impl_->mutex);
    const std::uint64_t queued = impl_->queued_prefill + job->tokens;
    prefill_end refused;
    if (impl_->leaving)
        refused.error = "leaving";
    else if (job->tokens > impl_->options.kv_capacity)
        refused.error = "the prompt is larger than the memory";
    else if (queued > impl_->options.most_queued_prefill)
        refused.error = "too many prompts wait";
    if (!refused.error.empty())
        return refused;

    job->queue_number = impl_->next_queue_number++;
    impl_->queued_prefill = queued;
    impl_->jobs[order.header.attempt] = job;
    impl_->work_ready.notify_all();
    job->changed.wait(
        lock, [&] { return job->end.has_value() || impl_->stopping; });
    return job->end.value_or(prefill_end{});
}

std::string engine_model::begin_export(const std::string& handle) {
    const std::lock_guard lock(impl_->mutex);
    const auto position = impl_->results.find(handle);
    if (position == impl_->results.end())
        return {};
    position->second.exporting = true;
    return position->second.prompt;
}

bool engine_model::export_result(
    const std::string& handle, const export_sink& on_part) {
    std::unique_lock lock(impl_->mutex);
    double done = 0;
    ++impl_->exports;
    bool whole = false;
    while (!impl_->stopping) {
        const auto position = impl_->results.find(handle);
        if (position == impl_->results.end())
            break;
        const auto total = static_cast<double>(position->second.tokens);
        if (done >= total) {
            impl_->counters.exported += position->second.computed;
            impl_->drop_result(position);
            whole = true;
            break;
        }
        const double rate =
            impl_->options.link_tokens_per_second / std::max(impl_->exports, 1);
        const double seconds = std::min(
            (total - done) / rate,
            fractional_ms(export_tick) / fractional_ms(1000));
        lock.unlock();
        std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
        done += rate * seconds + 1e-6;
        const bool wanted = on_part(static_cast<std::uint64_t>(done));
        lock.lock();
        if (!wanted)
            break;
    }
    --impl_->exports;
    const auto position = impl_->results.find(handle);
    if (!whole && position != impl_->results.end())
        position->second.exporting = false;
    return whole;
}

std::string engine_model::admit(const engine::decode_order& order) {
    const std::lock_guard lock(impl_->mutex);
    if (impl_->leaving)
        return "leaving";
    if (impl_->streams.contains(order.header.attempt))
        return "the attempt is already known";
    const std::uint64_t wanted = order.prompt_tokens + order.max_tokens;
    if (impl_->kv_used + wanted > impl_->options.kv_capacity)
        return "not enough memory";
    auto entry = std::make_shared<stream>();
    entry->order = order;
    entry->reserved = wanted;
    entry->unread_since = steady_clock::now();
    impl_->kv_used += wanted;
    impl_->streams[order.header.attempt] = std::move(entry);
    return {};
}

bool engine_model::import_progress(const std::string& attempt) {
    const std::lock_guard lock(impl_->mutex);
    const auto position = impl_->streams.find(attempt);
    if (position == impl_->streams.end())
        return false;
    ++position->second->progress;
    position->second->changed.notify_all();
    return true;
}

void engine_model::import_done(
    const std::string& attempt, const std::string& prompt) {
    const std::lock_guard lock(impl_->mutex);
    const auto position = impl_->streams.find(attempt);
    if (position == impl_->streams.end())
        return;
    stream& entry = *position->second;
    entry.writer.emplace(prompt);
    entry.state = stream::phase::running;
    entry.changed.notify_all();
    impl_->work_ready.notify_all();
}

void engine_model::import_failed(
    const std::string& attempt, const std::string& error) {
    const std::lock_guard lock(impl_->mutex);
    const auto position = impl_->streams.find(attempt);
    if (position == impl_->streams.end())
        return;
    position->second->error = error;
    impl_->finish_stream(*position->second, stream::phase::failed);
}

bool engine_model::has_stream(const std::string& attempt) const {
    const std::lock_guard lock(impl_->mutex);
    return impl_->streams.contains(attempt);
}

void engine_model::read_stream(
    const std::string& attempt, std::uint64_t offset, const event_sink& sink) {
    std::unique_lock lock(impl_->mutex);
    const auto position = impl_->streams.find(attempt);
    if (position == impl_->streams.end())
        return;
    const auto entry = position->second;
    ++entry->readers;
    const std::uint64_t first = entry->order.offset;
    std::uint64_t next = std::max(offset, first);
    std::uint64_t progress = entry->progress;
    bool imported = false;
    bool wanted = true;
    bool ended = false;

    // Send outside the lock: a slow reader must not hold up the batch.
    const auto send = [&](const decode_event& event) {
        lock.unlock();
        wanted = sink(event);
        lock.lock();
    };
    while (wanted && !ended && !impl_->stopping) {
        const bool importing = entry->state == stream::phase::importing;
        if (importing && progress != entry->progress) {
            progress = entry->progress;
            send({decode_event::kind::progress});
        } else if (
            !importing && !imported && entry->state != stream::phase::failed) {
            imported = true;
            send({decode_event::kind::imported});
        } else if (next - first < entry->tokens.size()) {
            const std::string text = entry->tokens[next - first];
            send({decode_event::kind::token, next++, text});
        } else if (entry->state == stream::phase::finished) {
            ended = true;
            send({decode_event::kind::end, next, {}, entry->finish});
        } else if (entry->state == stream::phase::failed) {
            ended = true;
            send({decode_event::kind::failed, next, entry->error});
        } else {
            entry->changed.wait(lock);
        }
    }
    --entry->readers;
    entry->unread_since = steady_clock::now();
    // A stream that was read to its end is of no use to anyone.
    if (ended && wanted)
        impl_->streams.erase(attempt);
}

void engine_model::cancel(const std::string& attempt) {
    const std::lock_guard lock(impl_->mutex);
    if (const auto job = impl_->jobs.find(attempt); job != impl_->jobs.end()) {
        const auto entry = job->second;
        entry->cancelled = true;
        if (!entry->running) {
            impl_->queued_prefill -= entry->tokens;
            entry->end =
                prefill_end{prefill_end::state::cancelled, {}, "cancelled"};
            impl_->jobs.erase(job);
        }
        entry->changed.notify_all();
    }
    for (auto position = impl_->results.begin();
         position != impl_->results.end();) {
        const auto current = position++;
        if (current->second.attempt != attempt)
            continue;
        impl_->counters.cancelled += current->second.computed;
        impl_->drop_result(current);
    }
    const auto found = impl_->streams.find(attempt);
    if (found == impl_->streams.end())
        return;
    const auto entry = found->second;
    impl_->streams.erase(found);
    if (!entry->ended()) {
        entry->error = "cancelled";
        impl_->finish_stream(*entry, stream::phase::failed);
    }
}

void engine_model::set_leaving(bool leaving) {
    const std::lock_guard lock(impl_->mutex);
    impl_->leaving = leaving;
}

engine::load_report engine_model::report() const {
    const std::lock_guard lock(impl_->mutex);
    return impl_->shown_report;
}

engine::cache_events
engine_model::cache_events_since(std::uint64_t sequence) const {
    const std::lock_guard lock(impl_->mutex);
    auto events = impl_->cache.since(sequence);
    events.incarnation = impl_->incarnation;
    return events;
}

engine_truth engine_model::truth() const {
    const std::lock_guard lock(impl_->mutex);
    engine_truth truth = impl_->counters;
    truth.kv_used = impl_->kv_used;
    truth.attempts = impl_->jobs.size() + impl_->results.size();
    for (const auto& [attempt, entry] : impl_->streams)
        truth.attempts += entry->ended() ? 0 : 1;
    return truth;
}

std::string engine_model::take_order(const fenced_order& order) {
    const std::lock_guard lock(impl_->mutex);
    engine_assignment& assigned = impl_->assigned;
    const bool stale = order.epoch < assigned.highest_epoch;
    if (stale && impl_->options.check_fences)
        return "the epoch is stale";
    if (stale)
        ++assigned.stale_orders_taken;
    assigned.highest_epoch = std::max(assigned.highest_epoch, order.epoch);
    if (order.type == "model")
        assigned.model = order.value;
    else if (order.type == "adapter")
        assigned.adapter = order.value;
    else if (order.type == "role")
        assigned.role = order.value;
    else
        return "unknown type of order";
    return {};
}

engine_assignment engine_model::assignment() const {
    const std::lock_guard lock(impl_->mutex);
    return impl_->assigned;
}

} // namespace mintknot::standins
