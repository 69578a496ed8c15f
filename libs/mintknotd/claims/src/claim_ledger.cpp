#include <mintknot/claims/claim_ledger.hpp>

#include <mintknot/base/status_text.hpp>

namespace mintknot::claims {

namespace {

using table_service::commit_result;

/// Bodies beyond this are not kept; a repeated call is then told so.
constexpr std::size_t longest_kept_body = 64U * 1024;
constexpr int most_tries = 3;

} // namespace

claim_ledger::claim_ledger(
    table_service::table_client& platform, claim_writer& writer)
    : platform_(platform)
    , writer_(writer) {}

claim_result claim_ledger::take(const claim_key& key, const claim& wanted) {
    claim_result outcome;
    const auto write =
        table_service::insert_if_absent(row_key(key), to_json(wanted));
    for (int tries = 0; tries < most_tries; ++tries) {
        const auto result = writer_.write(write);
        switch (result.end) {
        case commit_result::state::applied:
            outcome.end = claim_result::state::ours;
            outcome.row = wanted;
            return outcome;
        case commit_result::state::conflict:
            outcome.row = claim_from_json(result.conflicting.front().value);
            // After a lost answer the conflicting row may be our own.
            outcome.end = outcome.row.token == wanted.token
                              ? claim_result::state::ours
                              : claim_result::state::taken;
            return outcome;
        case commit_result::state::not_applied:
        case commit_result::state::unknown:
            outcome.error = result.error;
            break;
        }
    }
    return outcome;
}

bool claim_ledger::finish(
    const claim_key& key, claim held, const kept_answer& answer) {
    held.state = claim_state::finished;
    held.answer = answer;
    if (answer.body.size() > longest_kept_body) {
        held.answer.body.clear();
        held.answer.body_kept = false;
    }
    return rewrite(key, held);
}

bool claim_ledger::mark_unknown(const claim_key& key, claim held) {
    held.state = claim_state::unknown;
    return rewrite(key, held);
}

bool claim_ledger::rewrite(const claim_key& key, const claim& held) {
    table_service::table_write write;
    write.key = row_key(key);
    write.value = to_json(held);
    for (int tries = 0; tries < most_tries; ++tries)
        if (writer_.write(write).end == commit_result::state::applied)
            return true;
    return false;
}

bool claim_ledger::release(const claim_key& key, const claim& held) {
    for (int tries = 0; tries < most_tries; ++tries) {
        const auto row = platform_.read(row_key(key));
        if (!row.ok())
            continue;
        const bool ours = row->revision != 0 &&
                          claim_from_json(row->value).token == held.token;
        if (!ours)
            return true;
        const auto result =
            writer_.write(table_service::erase(row_key(key), row->revision));
        if (result.end == commit_result::state::applied)
            return true;
    }
    return false;
}

absl::StatusOr<claim> claim_ledger::look(const claim_key& key) {
    const auto row = platform_.read(row_key(key));
    if (!row.ok())
        return row.status();
    if (row->revision == 0)
        return absl::NotFoundError("no such claim");
    return claim_from_json(row->value);
}

} // namespace mintknot::claims
