#include <mintknot/base/random.hpp>

#include <fmt/format.h>

#include <cassert>
#include <random>
#include <utility>

namespace mintknot::base {

std::uint64_t random_bits() {
    thread_local std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

std::string random_token() {
    return fmt::format("{:016x}", random_bits());
}

std::uint64_t random_below(std::uint64_t bound) {
    assert(bound > 0);
    thread_local std::mt19937_64 generator(random_bits());
    return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(
        generator);
}

void keep_some(std::vector<std::string>& values, std::size_t max) {
    while (values.size() > max) {
        std::swap(values[random_below(values.size())], values.back());
        values.pop_back();
    }
}

} // namespace mintknot::base
