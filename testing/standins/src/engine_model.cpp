#include <mintknot/standins/engine_model.hpp>

#include "engine_state.hpp"

#include <algorithm>

namespace mintknot::standins {

namespace {

using engine::decode_event;

constexpr base::milliseconds export_tick{2};

} // namespace

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

engine_truth engine_model::truth() const {
    const std::lock_guard lock(impl_->mutex);
    engine_truth truth = impl_->counters;
    truth.kv_used = impl_->kv_used;
    truth.attempts = impl_->jobs.size() + impl_->results.size();
    for (const auto& [attempt, entry] : impl_->streams)
        truth.attempts += entry->ended() ? 0 : 1;
    return truth;
}

} // namespace mintknot::standins
