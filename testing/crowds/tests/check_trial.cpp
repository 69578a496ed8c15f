#include "check_trial.hpp"

#include <criterion/criterion.h>
#include <fmt/format.h>

namespace mintknot::crowds {

namespace {

constexpr std::size_t mebibyte = 1024 * 1024;
constexpr int status_ok = 200;

} // namespace

void check_trial(const trial_result& seen, const trial_bounds& bounds) {
    fmt::print(
        "memory {} of {} MB, descriptors {} of {}, sent {} MB, {} left open, "
        "answers {} and {}\n",
        seen.max_memory_bytes / mebibyte, bounds.memory_bytes / mebibyte,
        seen.max_descriptors, bounds.descriptors, seen.sent_bytes / mebibyte,
        seen.left_open, seen.status_beside_crowd, seen.status_after_crowd);
    cr_expect(seen.lives);
    cr_expect(seen.max_memory_bytes <= bounds.memory_bytes);
    cr_expect(seen.max_descriptors <= bounds.descriptors);
    cr_expect(seen.status_beside_crowd == status_ok);
    cr_expect(seen.status_after_crowd == status_ok);
}

} // namespace mintknot::crowds
