/// @file
/// A process that ends in the way that its argument names, for the tests of
/// what such a process leaves in its log.

#include <mintknot/event/loop.hpp>
#include <mintknot/logging/process_end_log.hpp>

#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <functional>
#include <limits>
#include <map>
#include <stdexcept>
#include <string>

using namespace mintknot;

namespace {

constexpr build::info test_build{"1.2.3", "0123456789ab"};
constexpr int exit_usage = 2;

/// Calls a function in a handler of an event loop.
void run_in_loop(const std::function<void()>& handler) {
    event::loop loop;
    loop.post(handler);
    loop.run();
}

void use_too_much_memory() {
    const volatile std::size_t size =
        std::numeric_limits<std::ptrdiff_t>::max() / 2;
    run_in_loop([&] { std::string(size, 'x'); });
}

/// Ends by an overflow of the stack. The compiler cannot tell that the depth is
/// never reached, nor leave out what a call adds to the stack.
std::size_t overflow_stack(std::size_t depth) {
    volatile char page[4096] = {};
    page[0] = static_cast<char>(depth);
    return depth == std::numeric_limits<std::size_t>::max()
               ? 0
               : overflow_stack(depth + 1) + static_cast<std::size_t>(page[0]);
}

/// Fills the pipe that the standard output is, so that nothing more fits.
void fill_output() {
    ::fcntl(STDOUT_FILENO, F_SETFL, O_NONBLOCK);
    while (::write(STDOUT_FILENO, "x", 1) > 0) {
    }
    ::fcntl(STDOUT_FILENO, F_SETFL, 0);
}

const std::map<std::string, std::function<void()>>& ways() {
    static const std::map<std::string, std::function<void()>> all = {
        {"orderly", [] {}},
        {"exception",
         [] { run_in_loop([] { throw std::runtime_error("out of range"); }); }},
        {"odd-text",
         [] {
             run_in_loop([] {
                 throw std::runtime_error(
                     "a\"b\\c\nd\xff" + std::string(10'000, 'x'));
             });
         }},
        {"no-exception-class", [] { run_in_loop([] { throw 1; }); }},
        {"memory", use_too_much_memory},
        {"abort", [] { std::abort(); }},
        {"stack", [] { overflow_stack(0); }},
        {"full-pipe",
         [] {
             fill_output();
             std::abort();
         }},
        {"SIGABRT", [] { ::raise(SIGABRT); }},
        {"SIGBUS", [] { ::raise(SIGBUS); }},
        {"SIGFPE", [] { ::raise(SIGFPE); }},
        {"SIGILL", [] { ::raise(SIGILL); }},
        {"SIGSEGV", [] { ::raise(SIGSEGV); }}};
    return all;
}

} // namespace

int main(int argc, char** argv) {
    const auto way = ways().find(argc == 2 ? argv[1] : "");
    if (way == ways().end())
        return exit_usage;
    const rlimit no_core{0, 0};
    ::setrlimit(RLIMIT_CORE, &no_core);
    if (!logging::log_process_end(STDOUT_FILENO, "i1", test_build).ok())
        return EXIT_FAILURE;
    way->second();
    return EXIT_SUCCESS;
}
