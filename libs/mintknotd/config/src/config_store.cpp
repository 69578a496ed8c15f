#include <mintknot/config/config_store.hpp>

#include <mintknot/base/json_reader.hpp>
#include <mintknot/base/status_text.hpp>

#include <fmt/format.h>

#include <algorithm>

namespace mintknot::config {

namespace {

using base::field_or;
using table_service::commit_result;
using table_service::table_row;

constexpr std::string_view head_key = "config/head";
constexpr std::string_view log_prefix = "config/log/";
constexpr std::string_view resource_prefix = "config/resource/";
/// Other operators may move the head between our read and our write.
constexpr int most_tries = 20;

std::string log_key(std::uint64_t revision) {
    return fmt::format("{}{:020}", log_prefix, revision);
}

std::string resource_key(resource_kind kind, std::string_view name) {
    return fmt::format("{}{}/{}", resource_prefix, to_string(kind), name);
}

std::uint64_t head_of(const table_row& row) {
    return field_or(row.value, "revision", std::uint64_t{0});
}

change_outcome
refused(base::reason code, base::verdict run, const std::string& sentence) {
    change_outcome outcome;
    outcome.refused = base::refusal{code, sentence, run};
    return outcome;
}

change_outcome conflict(const change& wanted, const table_row& row) {
    auto outcome = refused(
        base::reason::conflict, base::verdict::not_run,
        row.revision == 0 ? "the resource does not exist"
                          : "the resource has another revision");
    outcome.current = resource_from_json(row.value).value_or(
        resource{wanted.kind, wanted.name, 0, {}});
    return outcome;
}

change_outcome accepted(std::uint64_t revision) {
    change_outcome outcome;
    outcome.revision = revision;
    return outcome;
}

/// @param answer_lost an earlier try may still take effect.
change_outcome
out_of_reach(const change& wanted, bool answer_lost, const std::string& why) {
    if (!answer_lost)
        return refused(
            base::reason::platform_unreachable, base::verdict::not_run, why);
    return refused(
        base::reason::outcome_unknown, base::verdict::may_have_run,
        fmt::format(
            "the platform went away while the change was written; ask for "
            "change {}: {}",
            wanted.change_id, why));
}

/// The rows that a change is based on.
struct change_base {
    table_row head;
    table_row resource;
};

table_service::transaction transaction_for(
    const change& wanted, const change_base& rows, std::uint64_t log_kept) {
    table_service::transaction writes;
    writes.push_back(table_service::replace(
        std::string(head_key), {{"revision", wanted.revision}},
        rows.head.revision));
    const std::string key = resource_key(wanted.kind, wanted.name);
    if (wanted.erased)
        writes.push_back(table_service::erase(key, rows.resource.revision));
    else
        writes.push_back(table_service::replace(
            key,
            to_json(resource{
                wanted.kind, wanted.name, wanted.revision, wanted.spec}),
            rows.resource.revision));
    writes.push_back(table_service::insert_if_absent(
        log_key(wanted.revision), to_json(wanted)));
    if (wanted.revision > log_kept) {
        table_service::table_write trim;
        trim.what = table_service::table_write::action::erase;
        trim.key = log_key(wanted.revision - log_kept);
        writes.push_back(std::move(trim));
    }
    return writes;
}

} // namespace

config_store::config_store(
    table_service::table_client& platform, std::uint64_t log_kept)
    : platform_(platform)
    , log_kept_(log_kept) {}

change_outcome config_store::write(const change_request& request) {
    change_request tried = request;
    // Once an answer was lost, an earlier try may take effect at any moment.
    bool answer_lost = false;
    for (int tries = 0; tries < most_tries; ++tries)
        if (auto outcome = try_write(tried, answer_lost))
            return *std::move(outcome);
    return out_of_reach(
        tried.wanted, answer_lost, "too many changes at the same time");
}

std::optional<change_outcome>
config_store::try_write(change_request& request, bool& answer_lost) {
    change& wanted = request.wanted;
    const auto head = platform_.read(std::string(head_key));
    const auto current = platform_.read(resource_key(wanted.kind, wanted.name));
    if (!head.ok())
        return out_of_reach(wanted, answer_lost, base::text_of(head.status()));
    if (!current.ok())
        return out_of_reach(
            wanted, answer_lost, base::text_of(current.status()));
    if (answer_lost) {
        const auto written = find_change(wanted.change_id);
        if (written.ok())
            return accepted(written->revision);
        if (!absl::IsNotFound(written.status()))
            return out_of_reach(
                wanted, answer_lost, base::text_of(written.status()));
    }
    const std::uint64_t current_revision =
        field_or(current->value, "revision", std::uint64_t{0});
    const bool as_expected = !request.expected_revision ||
                             *request.expected_revision == current_revision;
    if (!as_expected || (wanted.erased && current->revision == 0))
        return conflict(wanted, *current);

    wanted.revision = head_of(*head) + 1;
    const auto result =
        platform_.commit(transaction_for(wanted, {*head, *current}, log_kept_));
    switch (result.end) {
    case commit_result::state::applied:
        return accepted(wanted.revision);
    case commit_result::state::not_applied:
        return out_of_reach(wanted, answer_lost, result.error);
    case commit_result::state::unknown:
        answer_lost = true;
        break;
    case commit_result::state::conflict:
        break; // Someone else was first: look again.
    }
    return std::nullopt;
}

absl::StatusOr<std::uint64_t> config_store::head() {
    const auto row = platform_.read(std::string(head_key));
    if (!row.ok())
        return row.status();
    return head_of(*row);
}

absl::StatusOr<std::vector<change>>
config_store::changes_since(std::uint64_t revision) {
    constexpr std::size_t page_rows = 500;
    const auto rows =
        platform_.scan(std::string(log_prefix), log_key(revision), page_rows);
    if (!rows.ok())
        return rows.status();
    std::vector<change> changes;
    for (const table_row& row : *rows) {
        auto item = change_from_json(row.value);
        if (!item)
            return absl::InternalError("a log entry cannot be read");
        if (item->revision != revision + changes.size() + 1)
            return absl::OutOfRangeError("log entries are gone");
        changes.push_back(*std::move(item));
    }
    return changes;
}

absl::StatusOr<catalogue> config_store::load() {
    // The head first: changes during the scan are then read from the log.
    const auto revision = head();
    if (!revision.ok())
        return revision.status();
    const auto rows =
        table_service::scan_all(platform_, std::string(resource_prefix));
    if (!rows.ok())
        return rows.status();
    std::vector<resource> resources;
    for (const table_row& row : *rows)
        if (auto item = resource_from_json(row.value))
            resources.push_back(*std::move(item));
    return catalogue::from(resources, *revision);
}

absl::StatusOr<change> config_store::find_change(const std::string& change_id) {
    const auto rows =
        table_service::scan_all(platform_, std::string(log_prefix));
    if (!rows.ok())
        return rows.status();
    const auto position =
        std::find_if(rows->rbegin(), rows->rend(), [&](const table_row& row) {
            return field_or(row.value, "change_id", std::string()) == change_id;
        });
    if (position == rows->rend())
        return absl::NotFoundError("no such change");
    auto item = change_from_json(position->value);
    if (!item)
        return absl::InternalError("a log entry cannot be read");
    return *std::move(item);
}

} // namespace mintknot::config
