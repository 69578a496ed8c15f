/// @file
/// A stand-in engine behind its HTTP interface (docs/STAND_INS.md).
#ifndef MINTKNOT_STANDINS_FAKE_ENGINE_HPP
#define MINTKNOT_STANDINS_FAKE_ENGINE_HPP

#include <mintknot/base/address.hpp>
#include <mintknot/standins/engine_model.hpp>

#include <absl/status/statusor.h>

#include <cstdint>
#include <memory>

namespace mintknot::standins {

/// Serves one engine_model. Lifetime: the destructor ends all calls.
///
/// @code
/// fake_engine engine({});
/// auto port = engine.start({"127.0.0.1", 0});
/// @endcode
class fake_engine {
public:
    explicit fake_engine(const engine_options& options);
    ~fake_engine();
    fake_engine(const fake_engine&) = delete;
    fake_engine& operator=(const fake_engine&) = delete;

    /// @return the bound port, or Unavailable.
    absl::StatusOr<std::uint16_t> start(const base::address& where);
    engine_model& model();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace mintknot::standins

#endif
