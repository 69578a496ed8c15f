#include <mintknot/harness/child_process.hpp>

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <stdexcept>

namespace mintknot::harness {

namespace {

constexpr int signal_base = 128;

/// Runs in the child; never returns.
[[noreturn]] void become(
    const std::string& path, std::vector<char*> arguments, int output,
    int errors) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    sigset_t none;
    sigemptyset(&none);
    sigprocmask(SIG_SETMASK, &none, nullptr);
    dup2(output, STDOUT_FILENO);
    dup2(errors, STDERR_FILENO);
    // An inherited connection would stay open when its owner closes it.
    close_range(STDERR_FILENO + 1, ~0U, CLOSE_RANGE_CLOEXEC);
    execv(path.c_str(), arguments.data());
    _exit(signal_base - 1);
}

int code_of(int status) {
    if (WIFEXITED(status))
        return WEXITSTATUS(status);
    return signal_base + WTERMSIG(status);
}

} // namespace

std::string program_path(const std::string& program) {
    const auto self = std::filesystem::read_symlink("/proc/self/exe");
    return (self.parent_path() / program).string();
}

child_process::child_process(
    const std::string& program, const std::vector<std::string>& arguments,
    const std::string& log_file, output_use output) {
    const std::string path = program_path(program);
    std::vector<std::string> texts{path};
    texts.insert(texts.end(), arguments.begin(), arguments.end());
    std::vector<char*> pointers;
    for (std::string& text : texts)
        pointers.push_back(text.data());
    pointers.push_back(nullptr);

    int pipe_ends[2] = {-1, -1};
    if (pipe2(pipe_ends, O_CLOEXEC) != 0)
        throw std::runtime_error("pipe failed");
    const int errors =
        open(log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    pid_ = fork();
    if (pid_ == 0)
        become(
            path, std::move(pointers),
            output == output_use::log ? errors : pipe_ends[1], errors);
    close(pipe_ends[1]);
    close(errors);
    output_ = pipe_ends[0];
    if (pid_ < 0)
        throw std::runtime_error("fork failed");
}

child_process::~child_process() {
    if (running()) {
        signal(SIGCONT);
        signal(SIGKILL);
        wait();
    }
    close(output_);
}

std::uint16_t child_process::wait_for_port() {
    std::string line;
    char letter = 0;
    while (read(output_, &letter, 1) == 1 && letter != '\n')
        line += letter;
    unsigned port = 0;
    if (std::sscanf(line.c_str(), "listening %u", &port) != 1)
        throw std::runtime_error("the program did not start: " + line);
    return static_cast<std::uint16_t>(port);
}

void child_process::signal(int number) const {
    kill(pid_, number);
}

int child_process::wait() {
    if (exit_code_)
        return *exit_code_;
    int status = 0;
    waitpid(pid_, &status, 0);
    exit_code_ = code_of(status);
    return *exit_code_;
}

bool child_process::running() {
    if (exit_code_)
        return false;
    int status = 0;
    if (waitpid(pid_, &status, WNOHANG) == 0)
        return true;
    exit_code_ = code_of(status);
    return false;
}

} // namespace mintknot::harness
