#include <mintknot/build/info.hpp>

#include "commit.hpp"

namespace mintknot::build {

info current() noexcept {
    return {MINTKNOT_VERSION, commit};
}

} // namespace mintknot::build
