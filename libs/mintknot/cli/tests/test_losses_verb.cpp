/// @file
/// The verb `losses` from its command line to its output.

#include <mintknot/cli/verbs.hpp>

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <unistd.h>
#include <vector>

using namespace mintknot;

namespace {

/// A directory that is removed at the end.
class temporary_directory {
public:
    temporary_directory() {
        std::string name = "/tmp/mintknot_losses_XXXXXX";
        cr_assert(::mkdtemp(name.data()) != nullptr);
        path_ = name;
    }
    ~temporary_directory() { std::filesystem::remove_all(path_); }
    temporary_directory(const temporary_directory&) = delete;
    temporary_directory& operator=(const temporary_directory&) = delete;

    std::string file(const std::string& name) const { return path_ / name; }
    std::string write(const std::string& name, const std::string& text) const {
        std::ofstream(file(name)) << text;
        return file(name);
    }
    std::string read(const std::string& name) const {
        std::ostringstream text;
        text << std::ifstream(file(name)).rdbuf();
        return text.str();
    }

private:
    std::filesystem::path path_;
};

/// Runs the command with its standard output in a file.
int run(std::vector<std::string> given, const std::string& output) {
    given.insert(given.begin(), "mintknot");
    std::vector<char*> pointers;
    for (std::string& each : given)
        pointers.push_back(each.data());
    std::fflush(stdout);
    const int saved = ::dup(STDOUT_FILENO);
    cr_assert(std::freopen(output.c_str(), "w", stdout) != nullptr);
    const int code =
        cli::run(static_cast<int>(pointers.size()), pointers.data(), "test");
    std::fflush(stdout);
    ::dup2(saved, STDOUT_FILENO);
    ::close(saved);
    return code;
}

const std::string first_log =
    R"({"at":1,"instance":"i1","event":"started","data_centre":"a"})"
    "\n"
    R"({"at":10000,"instance":"i1","event":"finished","request":"x",)"
    R"("route":"r","outcome":"no_capacity","sends":0,"returned":false,)"
    R"("target_ms":900,"waited_ms":1,"first_byte_ms":1,"total_ms":1,)"
    R"("verdict":"not_run","digest":"ab","deadline_ms":14000,"priority":0,)"
    R"("organisation":"o","longest_gap_ms":0,"target_gap_ms":300})"
    "\n";
const std::string second_log =
    R"({"at":14000,"instance":"i2","event":"finished","request":"y",)"
    R"("route":"r","outcome":"answered","sends":1,"returned":true,)"
    R"("target_ms":900,"waited_ms":1,"first_byte_ms":200,"total_ms":3600,)"
    R"("verdict":"ran","digest":"ab","deadline_ms":13600,"priority":0,)"
    R"("organisation":"o","longest_gap_ms":80,"target_gap_ms":300})"
    "\n";

} // namespace

// Guards against output in which a caller with two logs is two callers.
Test(losses_verb, callers_are_followed_over_the_logs_given) {
    const temporary_directory folder;
    const std::string one = folder.write("1.log", first_log);
    const std::string two = folder.write("2.log", second_log);
    const std::string plot = folder.file("callers.svg");
    const std::string output = folder.file("out");
    cr_assert(
        run({"losses", "--json", "--caller-plot", plot, two, one}, output) ==
        0);
    const auto document = nlohmann::json::parse(folder.read("out"));
    cr_assert(document["callers"]["all"]["callers"] == 1);
    cr_assert(document["callers"]["organisations"]["o"]["in_target"] == 1);
    cr_assert(document["callers"]["data_centres"]["a"]["ever_refused"] == 1);
    cr_assert(document["first_tries"]["r"]["first_tries"] == 1);
    cr_assert(folder.read("callers.svg").ends_with("</svg>\n"));

    cr_assert(run({"losses", one, two}, output) == 0);
    cr_assert(folder.read("out").find("priority 0 ") != std::string::npos);
}

Test(losses_verb, files_that_cannot_be_used_are_errors) {
    const temporary_directory folder;
    const std::string log = folder.write("1.log", first_log);
    const std::string output = folder.file("out");
    cr_assert(run({"losses", folder.file("none")}, output) != 0);
    cr_assert(
        run({"losses", "--caller-plot", folder.file("none/x.svg"), log},
            output) != 0);
    cr_assert(run({"losses", "--window", "0", log}, output) != 0);
}
