#include <mintknot/base/reason.hpp>

#include <algorithm>
#include <array>

namespace mintknot::base {

namespace {

/// One row for each reason; looked up by linear search, for refusals are rare.
struct reason_row {
    reason code;
    std::string_view name;
    int status;
    bool transient;
};

constexpr std::array reason_table{
    reason_row{reason::none, "none", 200, false},
    reason_row{reason::bad_json, "bad_json", 400, false},
    reason_row{reason::bad_field, "bad_field", 400, false},
    reason_row{reason::bad_offset, "bad_offset", 400, false},
    reason_row{reason::missing_key, "missing_key", 401, false},
    reason_row{reason::unknown_key, "unknown_key", 401, false},
    reason_row{reason::class_not_allowed, "class_not_allowed", 403, false},
    reason_row{reason::unknown_model, "unknown_model", 404, false},
    reason_row{reason::unknown_class, "unknown_class", 400, false},
    reason_row{reason::unknown_service, "unknown_service", 404, false},
    reason_row{reason::unknown_request, "unknown_request", 404, false},
    reason_row{reason::not_found, "not_found", 404, false},
    reason_row{reason::body_too_large, "body_too_large", 413, false},
    reason_row{
        reason::too_many_open_requests, "too_many_open_requests", 503, true},
    reason_row{reason::organisation_limit, "organisation_limit", 429, true},
    reason_row{reason::queue_full, "queue_full", 503, true},
    reason_row{reason::no_capacity, "no_capacity", 503, true},
    reason_row{reason::no_engine, "no_engine", 503, true},
    reason_row{reason::no_backend_server, "no_backend_server", 503, true},
    reason_row{reason::deadline_passed, "deadline_passed", 504, true},
    reason_row{reason::deadline_unreachable, "deadline_unreachable", 503, true},
    reason_row{reason::engine_rejected, "engine_rejected", 503, true},
    reason_row{reason::engine_unreachable, "engine_unreachable", 503, true},
    reason_row{reason::engine_failed, "engine_failed", 502, true},
    reason_row{reason::transfer_failed, "transfer_failed", 502, true},
    reason_row{reason::retry_budget_empty, "retry_budget_empty", 503, true},
    reason_row{reason::claim_unavailable, "claim_unavailable", 503, true},
    reason_row{reason::claim_taken, "claim_taken", 409, false},
    reason_row{
        reason::idempotency_key_needed, "idempotency_key_needed", 400, false},
    reason_row{reason::not_ready, "not_ready", 503, true},
    reason_row{reason::stopping, "stopping", 503, true},
    reason_row{reason::cancelled, "cancelled", 499, false},
    reason_row{reason::caller_gone, "caller_gone", 499, false},
    reason_row{reason::orphaned, "orphaned", 499, false},
    reason_row{reason::conflict, "conflict", 409, false},
    reason_row{reason::history_gone, "history_gone", 410, false},
    reason_row{reason::still_referenced, "still_referenced", 409, false},
    reason_row{reason::platform_unreachable, "platform_unreachable", 503, true},
    reason_row{reason::outcome_unknown, "outcome_unknown", 503, false},
    reason_row{reason::internal, "internal", 500, false},
};

const reason_row& row_of(reason value) noexcept {
    const auto* row = std::find_if(
        reason_table.begin(), reason_table.end(),
        [value](const reason_row& candidate) {
            return candidate.code == value;
        });
    return row == reason_table.end() ? reason_table.back() : *row;
}

} // namespace

std::string_view to_string(reason value) noexcept {
    return row_of(value).name;
}

reason parse_reason(std::string_view text) noexcept {
    for (const reason_row& row : reason_table)
        if (row.name == text)
            return row.code;
    return reason::internal;
}

int http_status(reason value) noexcept {
    return row_of(value).status;
}

bool is_transient(reason value) noexcept {
    return row_of(value).transient;
}

} // namespace mintknot::base
