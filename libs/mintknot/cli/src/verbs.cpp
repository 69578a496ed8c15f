#include <mintknot/cli/verbs.hpp>

#include "commands.hpp"
#include "losses_verb.hpp"
#include "verb_line.hpp"

#include <mintknot/base/sha256.hpp>

#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <map>
#include <string_view>
#include <vector>

namespace mintknot::cli {

namespace {

using text_argument = TCLAP::UnlabeledValueArg<std::string>;

exit_code run_validate(const arguments& given) {
    verb_line verb("validate", "Checks a file of resources");
    TCLAP::ValueArg<std::string> file(
        "f", "file", "file of resources", true, "", "file", verb.line());
    verb.parse(given);
    return validate(file);
}

exit_code run_apply(const arguments& given) {
    verb_line verb("apply", "Creates and changes resources from a file");
    verb.add_server();
    apply_options options;
    TCLAP::ValueArg<std::string> file(
        "f", "file", "file of resources", true, "", "file", verb.line());
    TCLAP::SwitchArg wait(
        "w", "wait", "wait until it is in force on all live instances",
        verb.line());
    TCLAP::ValueArg<int> limit(
        "", "wait-limit", "longest wait in seconds", false,
        static_cast<int>(options.wait_limit.count()), "s", verb.line());
    verb.parse(given);
    const auto common = verb.common();
    if (!common)
        return exit_code::usage;
    options.file = file;
    options.wait = wait;
    options.wait_limit = std::chrono::seconds{limit.getValue()};
    return apply(*common, options);
}

exit_code run_get(const arguments& given) {
    verb_line verb("get", "Shows one resource, or all of a kind");
    verb.add_server();
    text_argument kind("kind", "kind", true, "", "kind", verb.line());
    text_argument name("name", "name", false, "", "name", verb.line());
    verb.parse(given);
    const auto common = verb.common();
    return common ? get(*common, kind, name) : exit_code::usage;
}

exit_code run_delete(const arguments& given) {
    verb_line verb("delete", "Deletes a resource");
    verb.add_server();
    TCLAP::ValueArg<std::string> revision(
        "", "revision", "delete only this revision", false, "", "revision",
        verb.line());
    text_argument kind("kind", "kind", true, "", "kind", verb.line());
    text_argument name("name", "name", true, "", "name", verb.line());
    verb.parse(given);
    const auto common = verb.common();
    return common ? remove(*common, kind, name, revision) : exit_code::usage;
}

exit_code run_watch(const arguments& given) {
    verb_line verb("watch", "Prints changes as they are accepted");
    verb.add_server();
    TCLAP::ValueArg<std::string> since(
        "", "since", "changes after this revision", false, "", "revision",
        verb.line());
    text_argument kind(
        "kind", "kind; all if it is left out", false, "", "kind", verb.line());
    verb.parse(given);
    const auto common = verb.common();
    return common ? watch(*common, kind, since) : exit_code::usage;
}

exit_code run_why(const arguments& given) {
    verb_line verb("why", "Explains what was decided about a request");
    verb.add_server();
    text_argument request(
        "request", "request ID (X-Request-Id)", true, "", "id", verb.line());
    verb.parse(given);
    const auto common = verb.common();
    return common ? why(*common, request) : exit_code::usage;
}

exit_code run_status(const arguments& given) {
    verb_line verb("status", "Shows instances, engines and parts");
    verb.add_server();
    verb.parse(given);
    const auto common = verb.common();
    return common ? status(*common) : exit_code::usage;
}

exit_code run_drain(const arguments& given) {
    verb_line verb("drain", "Stops new work for a backend server");
    verb.add_server();
    TCLAP::SwitchArg undo("", "undo", "let it take work again", verb.line());
    text_argument name("name", "backend server", true, "", "name", verb.line());
    verb.parse(given);
    const auto common = verb.common();
    return common ? drain(*common, name, undo) : exit_code::usage;
}

exit_code run_digest(const arguments& given) {
    verb_line verb("digest", "Prints the digest of a key, for key_sha256");
    text_argument key("key", "the key", true, "", "key", verb.line());
    verb.parse(given);
    fmt::print("{}\n", base::sha256_hex(key.getValue()));
    return exit_code::ok;
}

struct verb_entry {
    exit_code (*run)(const arguments&);
    std::string_view purpose;
};

const std::map<std::string, verb_entry>& verbs() {
    static const std::map<std::string, verb_entry> all{
        {"apply", {run_apply, "create and change resources from a file"}},
        {"delete", {run_delete, "delete a resource"}},
        {"digest", {run_digest, "print the digest of a key"}},
        {"drain", {run_drain, "stop new work for a backend server"}},
        {"get", {run_get, "show one resource, or all of a kind"}},
        {"losses", {run_losses, "show what requests lost, and why, by logs"}},
        {"status", {run_status, "show instances, engines and parts"}},
        {"validate", {run_validate, "check a file of resources"}},
        {"watch", {run_watch, "print changes as they are accepted"}},
        {"why", {run_why, "explain what was decided about a request"}}};
    return all;
}

void print_usage(std::FILE* out) {
    fmt::print(out, "Usage: mintknot VERB [OPTIONS]; mintknot VERB --help\n\n");
    for (const auto& [name, verb] : verbs())
        fmt::print(out, "  {:<10} {}\n", name, verb.purpose);
}

} // namespace

int run(int argc, char** argv, const std::string& version) {
    const std::string verb = argc > 1 ? argv[1] : "";
    if (verb == "--version") {
        fmt::print("mintknot {}\n", version);
        return static_cast<int>(exit_code::ok);
    }
    if (verb == "--help" || verb == "-h") {
        print_usage(stdout);
        return static_cast<int>(exit_code::ok);
    }
    const auto position = verbs().find(verb);
    if (position == verbs().end()) {
        if (!verb.empty())
            fmt::print(stderr, "There is no verb '{}'.\n", verb);
        print_usage(stderr);
        return static_cast<int>(exit_code::usage);
    }
    const arguments given(argv + 2, argv + argc);
    try {
        return static_cast<int>(position->second.run(given));
    } catch (const TCLAP::ArgException& error) {
        fmt::print(
            stderr, "mintknot {}: {}: {}\n", verb, error.argId(),
            error.error());
        return static_cast<int>(exit_code::usage);
    } catch (const TCLAP::ExitException& asked) {
        return asked.getExitStatus(); // After --help.
    }
}

} // namespace mintknot::cli
