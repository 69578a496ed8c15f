#include "commands.hpp"

#include <mintknot/losses/caller_report.hpp>
#include <mintknot/losses/loss_report.hpp>

#include <fmt/format.h>

#include <fstream>
#include <iostream>

namespace mintknot::cli {

namespace {

void read_all(std::istream& input, losses::loss_ledger& ledger) {
    std::string line;
    while (std::getline(input, line))
        losses::take_line(ledger, line);
}

bool read_log(const std::string& path, losses::loss_ledger& ledger) {
    if (path == "-") {
        read_all(std::cin, ledger);
        return true;
    }
    std::ifstream file(path);
    if (file)
        read_all(file, ledger);
    else
        fmt::print(stderr, "{}: cannot be read\n", path);
    return static_cast<bool>(file) || file.eof();
}

/// Does nothing without a path. @return false, after a message, on failure.
bool write_plot(
    const std::string& path, const losses::loss_ledger& ledger,
    std::string (*plot)(const losses::loss_ledger&)) {
    if (path.empty())
        return true;
    std::ofstream file(path);
    file << plot(ledger);
    file.close();
    if (!file)
        fmt::print(stderr, "{}: cannot be written\n", path);
    return static_cast<bool>(file);
}

} // namespace

exit_code show_losses(const losses_request& asked) {
    losses::loss_ledger ledger;
    ledger.options.window = asked.window;
    ledger.options.weights = asked.weights;
    for (const std::string& log : asked.logs)
        if (!read_log(log, ledger))
            return exit_code::usage;
    losses::close_account(ledger);
    if (asked.json)
        fmt::print("{}\n", losses::to_json(ledger).dump(2));
    else
        fmt::print("{}", losses::to_text(ledger));
    if (!write_plot(asked.plot, ledger, losses::to_plot) ||
        !write_plot(asked.caller_plot, ledger, losses::to_caller_plot))
        return exit_code::refused;
    return exit_code::ok;
}

} // namespace mintknot::cli
