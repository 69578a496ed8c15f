/// @file
/// The error of a request: a reason, a sentence and the verdict.
#ifndef MINTKNOT_BASE_REFUSAL_HPP
#define MINTKNOT_BASE_REFUSAL_HPP

#include <mintknot/base/reason.hpp>
#include <mintknot/base/verdict.hpp>

#include <chrono>
#include <string>
#include <utility>
#include <variant>

namespace mintknot::base {

/// Why a request got no answer, and whether it may have run all the same.
struct refusal {
    reason code = reason::internal;
    std::string sentence;                     ///< For people.
    verdict run = verdict::not_run;           ///< Never guessed downwards.
    std::chrono::milliseconds retry_after{0}; ///< 0: no advice is given.
};

/// The result of a step that may be refused: a value or a refusal.
///
/// @code
/// outcome<int> parsed = parse(text);
/// if (!parsed)
///     return parsed.error();
/// use(*parsed);
/// @endcode
template<class Value> class outcome {
public:
    outcome(Value value) // NOLINT(google-explicit-constructor)
        : state_(std::move(value)) {}
    outcome(refusal error) // NOLINT(google-explicit-constructor)
        : state_(std::move(error)) {}

    explicit operator bool() const noexcept {
        return std::holds_alternative<Value>(state_);
    }
    /// Precondition: the outcome holds a value.
    Value& operator*() { return std::get<Value>(state_); }
    const Value& operator*() const { return std::get<Value>(state_); }
    Value* operator->() { return &std::get<Value>(state_); }
    const Value* operator->() const { return &std::get<Value>(state_); }
    /// Precondition: the outcome holds a refusal.
    const refusal& error() const { return std::get<refusal>(state_); }

private:
    std::variant<Value, refusal> state_;
};

} // namespace mintknot::base

#endif
