#include "settings_watch.hpp"

#include <criterion/criterion.h>

#include <string>
#include <vector>

using namespace mintknot;
using namespace mintknot::runtime;

namespace {

/// A settings_watch whose source is `file`.
struct watched_settings {
    watched_settings()
        : log(-1, "test", {})
        , watch(
              loop, log, [this] { return file; },
              [this](const instance_settings& fresh) {
                  return fresh.grace != in_force.grace;
              },
              [this](const instance_settings& fresh, std::string_view cause) {
                  in_force = fresh;
                  causes.emplace_back(cause);
              }) {}

    event::loop loop;
    logging::line_log log;
    absl::StatusOr<instance_settings> file = instance_settings{};
    instance_settings in_force;
    std::vector<std::string> causes;
    settings_watch watch;
};

using names = std::vector<std::string>;

} // namespace

Test(settings_watch, a_signal_takes_what_the_file_says) {
    watched_settings w;
    w.watch.read("signal");
    cr_assert(w.causes == names({"signal"}));
}

Test(settings_watch, a_bad_file_leaves_the_old_settings_in_force) {
    watched_settings w;
    w.in_force.grace = base::milliseconds(1234);
    w.file = absl::InvalidArgumentError("torn");
    w.watch.read("signal");
    cr_assert(w.causes.empty());
    cr_assert(w.in_force.grace == base::milliseconds(1234));
}

Test(settings_watch, a_change_without_a_signal_is_found) {
    watched_settings w;
    w.file->grace = base::milliseconds(4321);
    event::timer polling(w.loop);
    std::function<void()> check = [&] {
        if (w.causes.empty())
            polling.start(base::milliseconds(20), check);
        else
            w.loop.stop();
    };
    check();
    w.watch.start();
    w.loop.run();
    cr_assert(w.causes == names({"file"}));
    cr_assert(w.in_force.grace == base::milliseconds(4321));
}
