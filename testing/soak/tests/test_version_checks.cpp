#include "stream_events.hpp"
#include "version_checks.hpp"

#include <criterion/criterion.h>

using namespace mintknot;
using namespace mintknot::soak;

namespace {

const base::steady_time now = base::steady_time(base::milliseconds(60000));

std::string event(int number, const std::string& version) {
    return "id: " + std::to_string(number) + "\nevent: " + version +
           "\ndata: r " + std::to_string(number) + "\n\n";
}

caller_record stream(const std::string& id, const std::string& body) {
    caller_record record;
    record.id = id;
    record.kind = request_kind::resumable;
    record.status = 200;
    record.sent = now;
    record.body = body;
    return record;
}

caller_record
taken_up(const std::string& stream_id, int number, const std::string& body) {
    caller_record record =
        stream(stream_id + "-" + std::to_string(number), body);
    record.resumes = stream_id;
    record.last_event = 1;
    return record;
}

/// Twelve streams that are taken up; so many of them go on.
std::vector<caller_record> twelve_taken_up(int gone_on) {
    std::vector<caller_record> records;
    for (int i = 0; i < 12; ++i) {
        const std::string id = "r" + std::to_string(i);
        records.push_back(stream(id, event(1, "v1")));
        records.push_back(
            taken_up(id, 1, i < gone_on ? event(2, "v1") : std::string()));
    }
    return records;
}

const std::vector<engine_life> two_engines = {
    {"server-1", "v1", true}, {"server-2", "v1", true}};

} // namespace

Test(version_checks, only_whole_events_are_counted) {
    const auto events = whole_events(event(3, "v1") + "id: 4\nevent: v2\n");
    cr_assert(events.size() == 1);
    cr_assert(events[0].number == 3);
    cr_assert(events[0].version == "v1");
    cr_assert(without_versions(event(3, "v1")) == "id: 3\ndata: r 3\n\n");
}

Test(version_checks, joined_streams_are_found_in_one_answer_and_over_tries) {
    std::vector<caller_record> records = {
        stream("a", event(1, "v1") + event(2, "v2")),
        stream("b", event(1, "v1")), taken_up("b", 1, event(2, "v2")),
        stream("c", event(1, "v1")), taken_up("c", 1, event(2, "v1"))};
    cr_assert(tally_versions(records, {}, {}).joined.size() == 2);
    cr_assert(broken_by_versions(tally_versions(records, {}, {})).empty());
    records.push_back(taken_up("c", 2, event(3, "v2")));
    cr_assert(broken_by_versions(tally_versions(records, {}, {})).size() == 1);
}

Test(version_checks, streams_that_do_not_go_on_are_compared_with_new_ones) {
    const auto broken = [](int gone_on, const std::vector<engine_life>& lives) {
        return broken_by_versions(
            tally_versions(twelve_taken_up(gone_on), lives, {}));
    };
    cr_assert(broken(6, two_engines).empty());
    cr_assert(broken(5, two_engines).size() == 1);
    cr_assert(broken(5, {two_engines[0]}).empty());
    cr_assert(
        tally_versions(twelve_taken_up(5), two_engines, {{"instance-0", now}})
            .resumed_counted == 0);
}
