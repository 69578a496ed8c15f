#include "draw_settings.hpp"

#include <absl/strings/numbers.h>

#include <cstdlib>

namespace mintknot::fuzz {

namespace {

constexpr std::uint64_t usual_seed = 1;

template<class Number> Number from_environment(const char* name, Number usual) {
    const char* text = std::getenv(name);
    Number number{};
    return text != nullptr && absl::SimpleAtoi(text, &number) ? number : usual;
}

} // namespace

std::uint64_t seed() {
    return from_environment("FUZZ_SEED", usual_seed);
}

int draws(int usual) {
    return from_environment("FUZZ_DRAWS", usual);
}

} // namespace mintknot::fuzz
