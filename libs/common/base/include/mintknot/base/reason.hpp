/// @file
/// Reason codes: why a request was refused, failed, retried or moved.
#ifndef MINTKNOT_BASE_REASON_HPP
#define MINTKNOT_BASE_REASON_HPP

#include <string_view>

namespace mintknot::base {

/// A stable code, part of the HTTP interface and of decision records.
enum class reason {
    none,
    bad_json,
    bad_field,
    bad_offset,
    missing_key,
    unknown_key,
    class_not_allowed,
    unknown_model,
    unknown_class,
    unknown_service,
    unknown_request,
    not_found,
    body_too_large,
    too_many_open_requests,
    organisation_limit,
    queue_full,
    no_capacity,
    no_engine,
    no_backend_server,
    deadline_passed,
    deadline_unreachable,
    engine_rejected,
    engine_unreachable,
    engine_failed,
    transfer_failed,
    retry_budget_empty,
    claim_unavailable,
    claim_taken,
    idempotency_key_needed,
    not_ready,
    stopping,
    cancelled,
    caller_gone,
    orphaned,
    conflict,
    history_gone,
    still_referenced,
    platform_unreachable,
    outcome_unknown,
    internal,
};

/// @return the code as it is written in answers and records.
std::string_view to_string(reason value) noexcept;

/// @return the reason with that code; internal if there is none.
reason parse_reason(std::string_view text) noexcept;

/// @return the HTTP status that a refusal for this reason carries.
int http_status(reason value) noexcept;

/// @return true if the same request may succeed when it is sent again later.
bool is_transient(reason value) noexcept;

} // namespace mintknot::base

#endif
