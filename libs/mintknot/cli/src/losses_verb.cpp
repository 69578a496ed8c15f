#include "losses_verb.hpp"

#include <absl/strings/numbers.h>
#include <fmt/format.h>

#include <map>
#include <string>

namespace mintknot::cli {

namespace {

/// Reads "ROUTE=NUMBER". @return false, after a message, if it is none.
bool read_weight(
    const std::string& given, std::map<std::string, double>& weights) {
    const std::size_t sign = given.rfind('=');
    double weight = 0.0;
    if (sign == std::string::npos || sign == 0 ||
        !absl::SimpleAtod(given.substr(sign + 1), &weight) || weight < 0.0) {
        fmt::print(
            stderr, "--weight: found '{}', wanted is ROUTE=NUMBER\n", given);
        return false;
    }
    weights[given.substr(0, sign)] = weight;
    return true;
}

} // namespace

exit_code run_losses(const arguments& given) {
    verb_line verb(
        "losses", "Shows what requests lost, and why, by the instances' logs");
    losses_request asked;
    TCLAP::ValueArg<int> window(
        "w", "window", "length of a window of time in milliseconds", false,
        static_cast<int>(asked.window.count()), "ms", verb.line());
    TCLAP::MultiArg<std::string> weights(
        "", "weight", "what a request of a route counts for (1 if not given)",
        false, "ROUTE=NUMBER", verb.line());
    TCLAP::SwitchArg as_json("", "json", "print JSON", verb.line());
    TCLAP::ValueArg<std::string> plot(
        "p", "plot", "write an SVG image of the losses over time", false, "",
        "file", verb.line());
    TCLAP::ValueArg<std::string> caller_plot(
        "", "caller-plot", "write an SVG image of what callers got", false, "",
        "file", verb.line());
    TCLAP::UnlabeledMultiArg<std::string> logs(
        "logs", "logs of all instances; - is standard input", true, "log",
        verb.line());
    verb.parse(given);
    if (window.getValue() <= 0) {
        fmt::print(stderr, "--window: must be above 0\n");
        return exit_code::usage;
    }
    for (const std::string& weight : weights.getValue())
        if (!read_weight(weight, asked.weights))
            return exit_code::usage;
    asked.window = base::milliseconds(window.getValue());
    asked.json = as_json.getValue();
    asked.plot = plot.getValue();
    asked.caller_plot = caller_plot.getValue();
    asked.logs = logs.getValue();
    return show_losses(asked);
}

} // namespace mintknot::cli
