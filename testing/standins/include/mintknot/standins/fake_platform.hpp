/// @file
/// The stand-in platform: the table service.
#ifndef MINTKNOT_STANDINS_FAKE_PLATFORM_HPP
#define MINTKNOT_STANDINS_FAKE_PLATFORM_HPP

#include <mintknot/base/address.hpp>
#include <mintknot/base/time.hpp>

#include <absl/status/statusor.h>

#include <cstdint>
#include <memory>

namespace mintknot::standins {

struct platform_options {
    std::uint64_t writes_per_second = 500; ///< Commits; more get 429.
    std::uint64_t reads_per_second = 2000;
};

/// Faults that the control call `POST /control` sets.
struct platform_faults {
    bool down = false;
    base::milliseconds delay{0};
    std::uint64_t lose_answers = 0; ///< Of the next commits, after the write.
};

/// Serves one platform. Lifetime: the destructor ends all calls.
class fake_platform {
public:
    explicit fake_platform(const platform_options& options);
    ~fake_platform();
    fake_platform(const fake_platform&) = delete;
    fake_platform& operator=(const fake_platform&) = delete;

    /// @return the bound port, or Unavailable.
    absl::StatusOr<std::uint16_t> start(const base::address& where);
    void set_faults(const platform_faults& faults);

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace mintknot::standins

#endif
