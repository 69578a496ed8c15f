#include "part_checks.hpp"

#include <criterion/criterion.h>

using namespace mintknot;
using namespace mintknot::soak;

namespace {

const base::steady_time start = base::steady_time(base::milliseconds(60000));

base::steady_time at_second(int seconds) {
    return start + std::chrono::seconds(seconds);
}

caller_record
request(const std::string& id, int second, const std::string& part) {
    caller_record record;
    record.id = id;
    record.kind = request_kind::stream;
    record.sent = at_second(second);
    record.first_part = "first";
    record.crashing_part = part;
    return record;
}

/// Five crashes, one a second from second 10 on, and so many sends at second
/// 18, which is four seconds after the fifth.
struct played_crashes {
    explicit played_crashes(int late) {
        for (int i = 0; i < 5; ++i)
            add("c" + std::to_string(i), 10 + i, true);
        for (int i = 0; i < late; ++i)
            add("l" + std::to_string(i), 18, false);
        records.push_back(request("last", 30, "bad"));
    }
    void add(const std::string& id, int second, bool crashes) {
        records.push_back(request(id, second, "bad"));
        note(notes, "marked", id, at_second(second), "server-1");
        if (crashes)
            note(notes, "crash", id, at_second(second), "server-1");
    }
    /// Adds twenty sound requests of which so many begin.
    void add_sound(int second, int begun) {
        for (int i = 0; i < 20; ++i) {
            caller_record record =
                request("s" + std::to_string(records.size()), second, "");
            record.status = i < begun ? 200 : 503;
            record.whole = i < begun;
            records.push_back(record);
        }
    }
    std::vector<std::string>
    broken(const std::vector<disturbance>& disturbances = {}) const {
        return broken_by_parts(tally_parts(records, notes, disturbances));
    }
    std::vector<caller_record> records;
    server_notes notes;
};

} // namespace

Test(part_checks, three_late_requests_are_borne) {
    cr_assert(played_crashes(3).broken().empty());
    cr_assert(played_crashes(4).broken().size() == 1);
    cr_assert(
        played_crashes(4).broken({{"instance-0", at_second(17)}}).empty());
}

Test(part_checks, sound_requests_begin_at_least_half_as_often) {
    played_crashes enough(0);
    enough.add_sound(5, 20);
    enough.add_sound(25, 10);
    cr_assert(enough.broken().empty());
    played_crashes fewer(0);
    fewer.add_sound(5, 20);
    fewer.add_sound(25, 9);
    cr_assert(fewer.broken().size() == 1);
    played_crashes elsewhere(0);
    elsewhere.add_sound(5, 20);
    elsewhere.add_sound(16, 0);
    cr_assert(elsewhere.broken().empty());
}
