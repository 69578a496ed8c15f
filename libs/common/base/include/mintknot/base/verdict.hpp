/// @file
/// What is known about whether a request has run.
#ifndef MINTKNOT_BASE_VERDICT_HPP
#define MINTKNOT_BASE_VERDICT_HPP

#include <string_view>

namespace mintknot::base {

/// Says whether a request may have taken effect on an engine or a backend
/// server. The order matters: a verdict is only ever raised, never lowered.
enum class verdict {
    not_run,      ///< No byte of an order has gone out, or it was rejected.
    may_have_run, ///< An order has gone out and no answer has come back.
    ran,          ///< An answer has come back.
};

/// @return the name used in the HTTP interface, such as "may_have_run".
std::string_view to_string(verdict value) noexcept;

/// @return the more cautious of the two: the later one in the enumeration.
verdict raised(verdict left, verdict right) noexcept;

} // namespace mintknot::base

#endif
