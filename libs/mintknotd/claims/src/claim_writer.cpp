#include <mintknot/claims/claim_writer.hpp>

#include <algorithm>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>

namespace mintknot::claims {

namespace {

using table_service::commit_result;
using table_service::table_row;

struct waiting_write {
    table_service::table_write row;
    std::optional<commit_result> result;
    std::condition_variable done;
};

using group = std::vector<std::shared_ptr<waiting_write>>;

} // namespace

struct claim_writer::impl {
    impl(
        table_service::table_client& client, const claim_writer_options& chosen)
        : platform(client)
        , options(chosen) {}

    table_service::table_client& platform;
    const claim_writer_options options;
    std::mutex mutex;
    std::condition_variable_any arrived;
    std::deque<std::shared_ptr<waiting_write>> waiting;

    group take_group(const std::stop_token& stop);
    void commit(group writes);
    void settle(waiting_write& write, commit_result result);
    void settle_all(const group& writes, const commit_result& result);
};

void claim_writer::impl::settle(waiting_write& write, commit_result result) {
    const std::lock_guard lock(mutex);
    write.result = std::move(result);
    write.done.notify_all();
}

void claim_writer::impl::settle_all(
    const group& writes, const commit_result& result) {
    for (const auto& write : writes)
        settle(*write, result);
}

group claim_writer::impl::take_group(const std::stop_token& stop) {
    std::unique_lock lock(mutex);
    arrived.wait(lock, stop, [this] { return !waiting.empty(); });
    if (waiting.empty())
        return {};
    // Give others a moment to come along, unless the group is full already.
    arrived.wait_for(lock, stop, options.gather, [this] {
        return waiting.size() >= options.most_in_group;
    });
    group taken;
    std::vector<std::string> keys;
    // Two writes of one row must not share a transaction.
    while (!waiting.empty() && taken.size() < options.most_in_group) {
        const std::string& key = waiting.front()->row.key;
        if (std::find(keys.begin(), keys.end(), key) != keys.end())
            break;
        keys.push_back(key);
        taken.push_back(std::move(waiting.front()));
        waiting.pop_front();
    }
    return taken;
}

void claim_writer::impl::commit(group writes) {
    while (!writes.empty()) {
        table_service::transaction transaction;
        for (const auto& write : writes)
            transaction.push_back(write->row);
        const commit_result result = platform.commit(transaction);
        if (result.end != commit_result::state::conflict ||
            result.conflicting.empty())
            return settle_all(writes, result);

        group rest;
        for (const auto& write : writes) {
            const auto conflict = std::find_if(
                result.conflicting.begin(), result.conflicting.end(),
                [&](const table_row& row) {
                    return row.key == write->row.key;
                });
            if (conflict == result.conflicting.end()) {
                rest.push_back(write);
                continue;
            }
            commit_result own;
            own.end = commit_result::state::conflict;
            own.conflicting = {*conflict};
            settle(*write, std::move(own));
        }
        writes = std::move(rest);
    }
}

claim_writer::claim_writer(
    table_service::table_client& platform, const claim_writer_options& options)
    : impl_(std::make_unique<impl>(platform, options)) {}

claim_writer::~claim_writer() = default;

table_service::commit_result
claim_writer::write(const table_service::table_write& row) {
    auto entry = std::make_shared<waiting_write>();
    entry->row = row;
    std::unique_lock lock(impl_->mutex);
    if (impl_->waiting.size() >= impl_->options.most_waiting) {
        commit_result refused;
        refused.error = "too many writes wait for the table service";
        return refused;
    }
    impl_->waiting.push_back(entry);
    impl_->arrived.notify_all();
    entry->done.wait(lock, [&] { return entry->result.has_value(); });
    return *entry->result;
}

void claim_writer::run(const std::stop_token& stop) {
    while (!stop.stop_requested())
        impl_->commit(impl_->take_group(stop));
    // Nobody must wait for ever once the writer has gone.
    group left;
    {
        const std::lock_guard lock(impl_->mutex);
        left.assign(impl_->waiting.begin(), impl_->waiting.end());
        impl_->waiting.clear();
    }
    commit_result stopped;
    stopped.error = "the instance stops";
    impl_->settle_all(left, stopped);
}

} // namespace mintknot::claims
