/// @file
/// Decision records: what was decided, on which inputs, and why.
#ifndef MINTKNOT_AUDIT_DECISION_HPP
#define MINTKNOT_AUDIT_DECISION_HPP

#include <mintknot/base/reason.hpp>
#include <mintknot/base/time.hpp>
#include <mintknot/base/verdict.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace mintknot::audit {

enum class decision_kind {
    received,
    placement,
    queued,
    refusal,
    reuse,   ///< A cached prefix or a kept result was used.
    give_up, ///< A prefill result was given up.
    retry,
    cancel,
    resume,
    claim,
    finish,
    order,
    config_change,
};

std::string_view to_string(decision_kind kind) noexcept;

/// One option that was weighed. Lower scores are better.
struct candidate {
    std::string name;
    double score = 0.0;
    std::string note; ///< Why it was ruled out, or what the score is made of.
};

/// A figure that the decision was based on, and how old it was.
struct input {
    std::string name;
    std::string value;
    base::milliseconds age{0};
};

struct decision {
    base::wall_time when = base::wall_now();
    std::string request; ///< Request ID; empty if it concerns none.
    decision_kind kind = decision_kind::placement;
    base::reason code = base::reason::none;
    std::string sentence; ///< For people.
    std::string choice;
    std::vector<candidate> candidates;
    std::vector<input> inputs;
    std::uint64_t config_revision = 0;
};

nlohmann::json to_json(const decision& value);

/// Reads a record that another instance wrote. Fields that cannot be read keep
/// their defaults: a record is for people, never for decisions.
decision decision_from_json(const std::string& text);

} // namespace mintknot::audit

#endif
