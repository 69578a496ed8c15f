/// @file
/// Runs soaks by hand: one for each seed.

#include "soak_run.hpp"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <cstdio>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace {

std::vector<mintknot::base::milliseconds>
to_times(const std::vector<double>& seconds) {
    std::vector<mintknot::base::milliseconds> times;
    for (const double count : seconds)
        times.push_back(
            std::chrono::duration_cast<mintknot::base::milliseconds>(
                std::chrono::duration<double>(count)));
    return times;
}

/// Reads "INSTANCE=FROM-UNTIL", with times in seconds.
std::optional<mintknot::soak::connection_skew>
parse_skew(const std::string& text) {
    const std::vector<std::string> parts =
        absl::StrSplit(text, absl::ByAnyChar("=-"));
    std::size_t instance = 0;
    std::vector<double> times(2);
    if (parts.size() != 3 || !absl::SimpleAtoi(parts[0], &instance) ||
        !absl::SimpleAtod(parts[1], &times[0]) ||
        !absl::SimpleAtod(parts[2], &times[1]))
        return std::nullopt;
    mintknot::soak::connection_skew skew;
    skew.instances = {instance};
    skew.from = to_times(times).front();
    skew.until = to_times(times).back();
    return skew;
}

} // namespace

int main(int argc, char** argv) {
    using namespace mintknot;
    TCLAP::CmdLine line("Randomized soak on stand-ins", ' ', "1");
    TCLAP::ValueArg<int> seed("s", "seed", "first seed", false, 1, "N", line);
    TCLAP::ValueArg<int> seeds("n", "seeds", "how many", false, 1, "N", line);
    TCLAP::ValueArg<int> length(
        "l", "length", "seconds of faults", false, 8, "S", line);
    TCLAP::ValueArg<int> instances(
        "i", "instances", "instances", false, 3, "N", line);
    TCLAP::SwitchArg planned(
        "p", "planned", "planned work only: nothing may be cut off", line);
    TCLAP::SwitchArg suspensions(
        "", "suspensions",
        "of the faults only: instances stand still, servers are killed", line);
    TCLAP::SwitchArg schedulers(
        "d", "schedulers", "place requests through schedulers", line);
    TCLAP::ValueArg<int> max_flat_group(
        "f", "max-flat-group", "beyond it there are super-peers; 0: as built",
        false, 0, "N", line);
    TCLAP::ValueArg<std::string> earlier(
        "e", "earlier",
        "an earlier build: instances begin with it and are replaced in turn",
        false, "", "PATH", line);
    TCLAP::SwitchArg crashing(
        "c", "crashing", "requests come that crash each server that runs them",
        line);
    TCLAP::SwitchArg crashing_parts(
        "", "crashing-parts",
        "requests come with parts in their prompts that crash engines", line);
    TCLAP::SwitchArg words(
        "w", "words",
        "servers say in answers only that they leave, or ask for rest", line);
    TCLAP::MultiArg<std::string> limits(
        "", "limit",
        "rate limit that a server, by number, advertises, in requests per "
        "second",
        false, "SERVER=RATE", line);
    TCLAP::ValueArg<int> limits_end(
        "", "limits-end",
        "seconds after which limits are no longer advertised; 0: never", false,
        0, "S", line);
    TCLAP::MultiArg<int> restores(
        "", "restore",
        "seconds after which the store is restored from a backup", false, "S",
        line);
    TCLAP::SwitchArg scarce(
        "", "scarce", "callers compete for scarce decode memory", line);
    TCLAP::SwitchArg undisturbed("u", "undisturbed", "inject no faults", line);
    TCLAP::ValueArg<int> callers(
        "", "callers", "number of callers", false, 20, "N", line);
    TCLAP::ValueArg<int> decode_engines(
        "", "decode-engines", "engines that decode", false, 3, "N", line);
    TCLAP::ValueArg<int> plain_servers(
        "", "plain-servers", "servers that are no engines", false, 2, "N",
        line);
    TCLAP::SwitchArg cuts(
        "", "cuts", "instances are cut from servers that others reach", line);
    TCLAP::ValueArg<int> data_centres(
        "", "data-centres", "data centres of the instances", false, 1, "N",
        line);
    TCLAP::SwitchArg versions(
        "", "versions",
        "engines of several software versions, streams that are taken up",
        line);
    TCLAP::SwitchArg pauses(
        "", "pauses",
        "engines pause in streams and go on, versions are rolled out, "
        "configurations are large",
        line);
    TCLAP::SwitchArg without_length(
        "", "without-length",
        "answers with neither a length nor chunks, callers of HTTP/1.0", line);
    TCLAP::ValueArg<int> grace(
        "", "grace", "seconds that an instance has to stop", false, 4, "S",
        line);
    TCLAP::SwitchArg faulty(
        "", "faulty", "one answer of a server in four is faulty", line);
    TCLAP::SwitchArg crowds(
        "", "crowds", "clients come that do not keep to the limits", line);
    TCLAP::MultiArg<double> kills(
        "", "kill-half", "seconds after which half of the instances are killed",
        false, "S", line);
    TCLAP::MultiArg<double> group_kills(
        "", "kill-all", "seconds after which all instances are killed at once",
        false, "S", line);
    TCLAP::MultiArg<double> stops(
        "", "stop-half",
        "seconds after which half of the instances get SIGTERM", false, "S",
        line);
    TCLAP::ValueArg<int> event_time(
        "", "event-ms", "milliseconds between two events of a stream", false, 0,
        "MS", line);
    TCLAP::SwitchArg foreign_rows(
        "", "foreign-rows",
        "another writer puts malformed rows into the table of servers", line);
    TCLAP::MultiArg<std::string> skews(
        "", "skew",
        "most new connections go to one instance from one second to another",
        false, "INSTANCE=FROM-UNTIL", line);
    TCLAP::ValueArg<double> processor_share(
        "", "processor-share", "of a core, for each instance; 0: no bound",
        false, 0.0, "SHARE", line);
    TCLAP::ValueArg<int> caller_pause(
        "", "caller-pause-ms", "mean time between two requests of a caller",
        false, 120, "MS", line);
    TCLAP::SwitchArg keep_logs(
        "k", "keep-logs", "keep the logs where no promise was broken", line);
    TCLAP::SwitchArg verbose("v", "verbose", "print the faults", line);
    line.parse(argc, argv);
    int failed = 0;
    for (int i = 0; i < seeds.getValue(); ++i) {
        soak::soak_options options;
        options.seed = static_cast<std::uint64_t>(seed.getValue()) +
                       static_cast<std::uint64_t>(i);
        options.length = std::chrono::seconds(length.getValue());
        options.instances = static_cast<std::size_t>(instances.getValue());
        options.planned_only = planned.getValue();
        options.suspensions = suspensions.getValue();
        options.schedulers = schedulers.getValue();
        options.max_flat_group =
            static_cast<std::size_t>(max_flat_group.getValue());
        options.earlier_program = earlier.getValue();
        options.decode_engines =
            static_cast<std::size_t>(decode_engines.getValue());
        options.plain_servers =
            static_cast<std::size_t>(plain_servers.getValue());
        if (crashing.getValue())
            options.crashing = {
                soak::request_kind::stream, soak::request_kind::unsafe};
        if (crashing_parts.getValue())
            options.crashing_parts = {
                soak::request_kind::stream, soak::request_kind::resumable};
        if (words.getValue()) {
            options.say_leaving = {0, 2};
            options.ask_rest = {1, 3, 2 + options.decode_engines};
        }
        for (const int when : restores.getValue())
            options.restores.emplace_back(std::chrono::seconds(when));
        options.undisturbed = undisturbed.getValue();
        options.scarce_capacity = scarce.getValue();
        options.random_cuts = cuts.getValue();
        options.data_centres =
            static_cast<std::size_t>(data_centres.getValue());
        options.callers = static_cast<std::size_t>(callers.getValue());
        options.limits_end = std::chrono::seconds(limits_end.getValue());
        for (const std::string& text : limits.getValue()) {
            const std::pair<std::string, std::string> parts =
                absl::StrSplit(text, absl::MaxSplits('=', 1));
            std::size_t server = 0;
            if (!absl::SimpleAtoi(parts.first, &server))
                return 2;
            options.advertised_limits[server] = parts.second;
        }
        for (const std::string& text : skews.getValue()) {
            const auto skew = parse_skew(text);
            if (!skew)
                return 2;
            options.skews.push_back(*skew);
        }
        options.keep_logs = keep_logs.getValue();
        options.processor_share = processor_share.getValue();
        options.caller_pause = base::milliseconds(caller_pause.getValue());
        options.foreign_rows = foreign_rows.getValue();
        options.answers_without_length = without_length.getValue();
        options.faulty_answers = faulty.getValue();
        options.crowds = crowds.getValue();
        options.grace = std::chrono::seconds(grace.getValue());
        options.event_time = base::milliseconds(event_time.getValue());
        options.instance_kills = to_times(kills.getValue());
        options.group_kills = to_times(group_kills.getValue());
        options.instance_stops = to_times(stops.getValue());
        if (versions.getValue())
            soak::plan_versions(options);
        if (pauses.getValue())
            soak::plan_pauses(options);
        const soak::soak_result result = soak::run_soak(options);
        fmt::print(
            "seed {}: {} requests, {} answered, {} refused, {} left, {} "
            "faults, {} promises broken\n",
            options.seed, result.requests, result.answered, result.refused,
            result.left, result.faults.size(), result.broken.size());
        if (options.foreign_rows)
            fmt::print("  foreign rows: {}\n", result.foreign_rows);
        for (const std::string& rate : result.measured_rates)
            fmt::print("  {}\n", rate);
        for (const std::string& served : result.served_during_cuts)
            fmt::print("  {}\n", served);
        for (const std::string& served : result.served_during_skews)
            fmt::print("  {}\n", served);
        for (const std::string& part : result.parts)
            fmt::print("  {}\n", part);
        if (!result.versions.empty())
            fmt::print("  versions: {}\n", result.versions);
        for (const std::string& broken : result.broken)
            fmt::print("  broken: {}\n", broken);
        if (!result.logs.empty())
            fmt::print("  logs: {}\n", result.logs);
        if (verbose.getValue() || !result.broken.empty()) {
            for (const std::string& fault : result.faults)
                fmt::print("  {}\n", fault);
            for (const std::string& cut : result.cuts)
                fmt::print("  {}\n", cut);
        }
        std::fflush(stdout);
        failed += result.broken.empty() ? 0 : 1;
    }
    return failed == 0 ? 0 : 1;
}
