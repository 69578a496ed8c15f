// mintknotd: the daemon on every entry instance.
#include <mintknot/base/large_blocks.hpp>
#include <mintknot/base/log.hpp>
#include <mintknot/base/status_text.hpp>
#include <mintknot/daemon/daemon.hpp>

#include <tclap/CmdLine.h>

#include <signal.h>

#include <ctime>

using namespace mintknot;

namespace {

constexpr int exit_ok = 0;
constexpr int exit_failed = 1;
constexpr int exit_bad_usage = 2; ///< Of the command line or the settings.

struct command_line {
    std::string settings_file;
    bool check_only = false;
};

command_line parse(int argc, char** argv) {
    TCLAP::CmdLine line(
        "Routes requests to prefill and decode pools and to plain services",
        ' ', MINTKNOT_VERSION);
    // The library's own handler would exit with 1, as a failed start does.
    line.setExceptionHandling(false);
    TCLAP::ValueArg<std::string> settings(
        "", "settings", "settings file (docs/SETTINGS.md)", true, "", "file",
        line);
    TCLAP::SwitchArg check(
        "", "check", "check the settings file and exit", line);
    line.parse(argc, argv);
    return {settings.getValue(), check.getValue()};
}

sigset_t block_signals() {
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    signal(SIGPIPE, SIG_IGN);
    return signals;
}

bool signal_pending(const sigset_t& signals) {
    const timespec at_once{0, 0};
    return sigtimedwait(&signals, nullptr, &at_once) > 0;
}

base::log_level level_from(const std::string& word) {
    if (word == "debug")
        return base::log_level::debug;
    if (word == "warning")
        return base::log_level::warning;
    return word == "error" ? base::log_level::error : base::log_level::info;
}

int serve(const command_line& line, const sigset_t& signals) {
    const base::logger log("main");
    const auto chosen = config::load_settings(line.settings_file);
    if (!chosen.ok()) {
        log.error("Bad settings:\n{}", base::text_of(chosen.status()));
        return exit_bad_usage;
    }
    if (line.check_only)
        return exit_ok;
    base::set_log_level(level_from(chosen->log_level));

    daemon::instance instance(*chosen);
    if (const auto status = instance.start(); !status.ok()) {
        log.error("Cannot start: {}.", base::text_of(status));
        return exit_failed;
    }
    int received = 0;
    sigwait(&signals, &received);
    const bool whole =
        instance.stop([&signals] { return signal_pending(signals); });
    return whole ? exit_ok : exit_failed;
}

} // namespace

int main(int argc, char** argv) {
    base::return_large_blocks();
    const sigset_t signals = block_signals();
    try {
        return serve(parse(argc, argv), signals);
    } catch (const TCLAP::ArgException& error) {
        base::logger("main").error("{}: {}.", error.argId(), error.error());
        return exit_bad_usage;
    } catch (const TCLAP::ExitException& asked) {
        return asked.getExitStatus(); // After --help or --version.
    }
}
