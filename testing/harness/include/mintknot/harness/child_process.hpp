/// @file
/// Real processes for tests. (The product itself never starts a process.)
#ifndef MINTKNOT_HARNESS_CHILD_PROCESS_HPP
#define MINTKNOT_HARNESS_CHILD_PROCESS_HPP

#include <sys/types.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace mintknot::harness {

/// Where the standard output of a program goes.
enum class output_use {
    port, ///< It is read here; see child_process::wait_for_port().
    log   ///< To the log file, as its standard error does.
};

/// Runs one program; it is killed with the object, and also if the test dies.
class child_process {
public:
    /// @param program name of a program beside the running one.
    /// @param log_file takes its standard error.
    child_process(
        const std::string& program, const std::vector<std::string>& arguments,
        const std::string& log_file, output_use output = output_use::port);
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    pid_t pid() const noexcept { return pid_; }

    /// Waits for the line "listening PORT" that stand-ins print, with
    /// output_use::port.
    std::uint16_t wait_for_port();

    void signal(int number) const;
    /// Waits for the end. @return the exit code, or 128 + signal.
    int wait();
    bool running();

private:
    pid_t pid_ = -1;
    int output_ = -1;
    std::optional<int> exit_code_;
};

/// @return the path of a program beside the running one.
std::string program_path(const std::string& program);

} // namespace mintknot::harness

#endif
