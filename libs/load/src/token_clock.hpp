/// @file
/// Times of the tokens of one call.
#ifndef MINTKNOT_LOAD_SRC_TOKEN_CLOCK_HPP
#define MINTKNOT_LOAD_SRC_TOKEN_CLOCK_HPP

#include <mintknot/base/time.hpp>
#include <mintknot/load/call_record.hpp>

namespace mintknot::load {

/// Starts with its creation.
class token_clock {
public:
    void tick() {
        last_ = base::steady_clock::now();
        if (tokens_++ == 0)
            first_ = last_;
    }
    std::uint64_t tokens() const noexcept { return tokens_; }

    void fill(call_record& record) const {
        using ms = std::chrono::duration<double, std::milli>;
        record.tokens = tokens_;
        if (tokens_ > 0)
            record.first_token_ms = ms(first_ - start_).count();
        if (tokens_ > 1)
            record.per_token_ms =
                ms(last_ - first_).count() / static_cast<double>(tokens_ - 1);
    }

private:
    base::steady_time start_ = base::steady_clock::now();
    base::steady_time first_;
    base::steady_time last_;
    std::uint64_t tokens_ = 0;
};

} // namespace mintknot::load

#endif
