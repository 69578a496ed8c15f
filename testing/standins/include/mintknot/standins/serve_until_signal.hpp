/// @file
/// The main loop that all stand-in programs share.
#ifndef MINTKNOT_STANDINS_SERVE_UNTIL_SIGNAL_HPP
#define MINTKNOT_STANDINS_SERVE_UNTIL_SIGNAL_HPP

#include <signal.h>

#include <cstdint>
#include <cstdio>

namespace mintknot::standins {

/// Blocks SIGTERM and SIGINT; call before any thread is started.
inline sigset_t block_end_signals() {
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

/// Prints "listening PORT" for the starter, then waits for a signal.
inline void serve_until_signal(const sigset_t& signals, std::uint16_t port) {
    std::printf("listening %u\n", static_cast<unsigned>(port));
    std::fflush(stdout);
    int received = 0;
    sigwait(&signals, &received);
}

} // namespace mintknot::standins

#endif
