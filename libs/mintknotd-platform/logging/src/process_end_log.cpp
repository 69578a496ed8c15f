#include <mintknot/logging/process_end_log.hpp>

#include "pipe_room.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <charconv>
#include <csignal>
#include <cstdint>
#include <cstring>
#include <ctime>
#include <exception>
#include <string>

namespace mintknot::logging {

namespace {

constexpr std::array fatal_signals{SIGABRT, SIGBUS, SIGFPE, SIGILL, SIGSEGV};
/// An overflow of the stack leaves no room on it for a handler.
constexpr std::size_t handler_stack_bytes = 64 * 1024;
constexpr std::size_t max_identity_bytes = 1024;
constexpr std::size_t max_exception_bytes = 512;
constexpr std::size_t max_line_bytes = 2048;
constexpr std::int64_t milliseconds_of_second = 1000;
constexpr std::int64_t nanoseconds_of_millisecond = 1'000'000;

/// Text in a buffer of fixed size; what does not fit is left out. All members
/// may be called in a signal handler.
template<std::size_t capacity> class fixed_text {
public:
    void append(std::string_view text) noexcept {
        const std::size_t count = std::min(text.size(), capacity - size_);
        std::memcpy(bytes_.data() + size_, text.data(), count);
        size_ += count;
    }

    void append(std::int64_t number) noexcept {
        std::array<char, 24> digits{};
        const auto end =
            std::to_chars(digits.data(), digits.data() + digits.size(), number);
        append(
            {digits.data(), static_cast<std::size_t>(end.ptr - digits.data())});
    }

    /// Appends text that needs no escapes in JSON: others become '?'.
    void append_plain(std::string_view text) noexcept {
        for (const char letter : text) {
            const bool plain = letter >= ' ' && letter <= '~' &&
                               letter != '"' && letter != '\\';
            append({plain ? &letter : "?", 1});
        }
    }

    std::string_view view() const noexcept { return {bytes_.data(), size_}; }
    void clear() noexcept { size_ = 0; }

private:
    std::array<char, capacity> bytes_{};
    std::size_t size_ = 0;
};

/// What the handlers need. They run at any moment, so that nothing here is
/// allocated.
struct process_state {
    int descriptor = -1;
    fixed_text<max_identity_bytes> identity; ///< Fields of JSON.
    fixed_text<max_exception_bytes> exception;
    std::atomic_flag written = ATOMIC_FLAG_INIT;
    std::terminate_handler previous_terminate = nullptr;
    alignas(16) std::array<char, handler_stack_bytes> stack{};
};

process_state state;

std::int64_t wall_milliseconds() noexcept {
    timespec now{};
    ::clock_gettime(CLOCK_REALTIME, &now);
    return now.tv_sec * milliseconds_of_second +
           now.tv_nsec / nanoseconds_of_millisecond;
}

/// @return true if another process has sent the signal.
bool has_sender(const siginfo_t& info) noexcept {
    const bool sent = info.si_code == SI_USER || info.si_code == SI_TKILL ||
                      info.si_code == SI_QUEUE;
    return sent && info.si_pid != ::getpid();
}

void write_line(int number, const siginfo_t& info) noexcept {
    fixed_text<max_line_bytes> line;
    line.append("{\"at\":");
    line.append(wall_milliseconds());
    line.append(",");
    line.append(state.identity.view());
    line.append(",\"signal\":\"SIG");
    line.append(::sigabbrev_np(number));
    line.append("\"");
    if (has_sender(info)) {
        line.append(",\"sender\":");
        line.append(std::int64_t{info.si_pid});
    }
    if (!state.exception.view().empty()) {
        line.append(",\"exception\":\"");
        line.append(state.exception.view());
        line.append("\"");
    }
    line.append("}\n");
    const std::string_view text = line.view();
    if (has_room(state.descriptor))
        (void)!::write(state.descriptor, text.data(), text.size());
}

void on_fatal_signal(int number, siginfo_t* info, void*) {
    const int error = errno;
    if (!state.written.test_and_set())
        write_line(number, *info);
    errno = error;
    // The default action is back in force, and is taken on the return.
    ::raise(number);
}

void note_exception() noexcept {
    const std::exception_ptr current = std::current_exception();
    if (current == nullptr)
        return;
    state.exception.clear();
    try {
        std::rethrow_exception(current);
    } catch (const std::exception& error) {
        state.exception.append_plain(error.what());
    } catch (...) {
        state.exception.append("of an unknown type");
    }
}

[[noreturn]] void on_terminate() {
    note_exception();
    if (state.previous_terminate != nullptr)
        state.previous_terminate();
    std::abort();
}

absl::Status failure(std::string_view what) {
    return absl::UnavailableError(fmt::format(
        "cannot log how the process ends: {}: {}", what, std::strerror(errno)));
}

absl::Status set_handler_stack() {
    stack_t present{};
    if (::sigaltstack(nullptr, &present) != 0)
        return failure("sigaltstack");
    if ((present.ss_flags & SS_DISABLE) == 0)
        return absl::OkStatus(); // One is set already.
    stack_t own{};
    own.ss_sp = state.stack.data();
    own.ss_size = state.stack.size();
    return ::sigaltstack(&own, nullptr) == 0 ? absl::OkStatus()
                                             : failure("sigaltstack");
}

absl::Status set_signal_handlers() {
    struct sigaction action {};
    action.sa_sigaction = on_fatal_signal;
    action.sa_flags = SA_SIGINFO | SA_ONSTACK | SA_RESETHAND;
    sigemptyset(&action.sa_mask);
    for (const int number : fatal_signals)
        if (::sigaction(number, &action, nullptr) != 0)
            return failure("sigaction");
    return absl::OkStatus();
}

std::string fields_of(std::string_view instance, const build::info& build) {
    const nlohmann::ordered_json fields = {
        {"instance", instance},
        {"event", "process_ended"},
        {"version", build.version},
        {"commit", build.commit}};
    const std::string text =
        fields.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
    return text.substr(1, text.size() - 2);
}

} // namespace

absl::Status log_process_end(
    int descriptor, std::string_view instance, const build::info& build) {
    const std::string fields = fields_of(instance, build);
    if (fields.size() > max_identity_bytes)
        return absl::UnavailableError(
            "cannot log how the process ends: its name is too long");
    state.descriptor = descriptor;
    state.identity.clear();
    state.identity.append(fields);
    const std::terminate_handler previous = std::set_terminate(on_terminate);
    if (previous != on_terminate)
        state.previous_terminate = previous;
    absl::Status done = set_handler_stack();
    if (done.ok())
        done = set_signal_handlers();
    return done;
}

} // namespace mintknot::logging
