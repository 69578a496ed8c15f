#include <mintknot/logging/line_log.hpp>

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <string>

using namespace mintknot::logging;

namespace {

struct pipe_ends {
    pipe_ends() {
        cr_assert(::pipe(ends.data()) == 0);
        ::fcntl(ends[0], F_SETFL, O_NONBLOCK);
    }
    ~pipe_ends() {
        ::close(ends[0]);
        ::close(ends[1]);
    }
    std::string read_all() const {
        std::string text;
        std::array<char, 65536> buffer{};
        ssize_t count = 0;
        while ((count = ::read(ends[0], buffer.data(), buffer.size())) > 0)
            text.append(buffer.data(), static_cast<std::size_t>(count));
        return text;
    }
    std::array<int, 2> ends{};
};

} // namespace

Test(line_log, writes_one_json_object_a_line) {
    pipe_ends out;
    line_log log(out.ends[1], "e1", {});
    log.write(
        "refused",
        {{"request", "r\"1\n"}, {"status", std::int64_t{503}}, {"last", true}});
    const std::string text = out.read_all();
    cr_assert(text.back() == '\n');
    cr_assert(text.find('\n') == text.size() - 1);
    const auto line = nlohmann::json::parse(text);
    cr_assert(line["instance"] == "e1");
    cr_assert(line["event"] == "refused");
    cr_assert(line["request"] == "r\"1\n");
    cr_assert(line["status"] == 503);
}

Test(line_log, bytes_that_are_no_text_do_no_harm) {
    pipe_ends out;
    line_log log(out.ends[1], "e1", {});
    log.write("refused", {{"request", "\xff\xfe"}});
    cr_assert(nlohmann::json::accept(out.read_all()));
}

// A line that was cut in the middle could not be read.
Test(line_log, a_long_field_leaves_the_line_readable) {
    pipe_ends out;
    line_log log(out.ends[1], "e1", {});
    log.write(
        "document_rejected", {{"key", std::string(100'000, 'a')},
                              {"because", std::string(100'000, '\xff')}});
    const auto line = nlohmann::json::parse(out.read_all());
    cr_assert(line["key"].get<std::string>().size() == 512);
}

Test(line_log, bounds_its_volume_and_says_what_is_missing) {
    pipe_ends out;
    line_log log(out.ends[1], "e1", {0.0, 3.0});
    for (int i = 0; i < 10; ++i)
        log.write("x", {});
    const std::string text = out.read_all();
    cr_assert(std::count(text.begin(), text.end(), '\n') == 3);
    cr_assert(log.left_out() == 7);
}

Test(line_log, never_waits_for_a_reader) {
    pipe_ends out;
    line_log log(out.ends[1], "e1", {1e9, 1e9});
    const std::string long_text(1000, 'x');
    for (int i = 0; i < 1000; ++i)
        log.write("x", {{"text", long_text}});
    cr_assert(log.left_out() > 0);
    out.read_all();
    log.write("y", {});
    cr_assert(out.read_all().find("left_out") != std::string::npos);
}
