#include <mintknot/event/connection.hpp>
#include <mintknot/event/listener.hpp>

#include <criterion/criterion.h>

#include <cstddef>
#include <string>
#include <thread>
#include <vector>

using namespace mintknot;
using namespace mintknot::event;

namespace {

constexpr base::milliseconds test_limit{10000};
/// Due while the loop stands still.
constexpr base::milliseconds due{100};
constexpr base::milliseconds standstill{300};

/// Connections between the two sides of one loop.
struct many_connections {
    explicit many_connections(std::size_t count)
        : accepting(owner)
        , limit(owner) {
        const auto opened =
            accepting.open({"127.0.0.1", 0}, [this](connection_ptr link) {
                writers.push_back(std::move(link));
            });
        cr_assert(opened.ok());
        for (std::size_t number = 0; number < count; ++number)
            connect(
                owner, {"127.0.0.1", accepting.port()}, test_limit,
                [this](connection_ptr link, connect_result) {
                    add_reader(std::move(link));
                });
        run_until([this, count] {
            return readers.size() == count && writers.size() == count;
        });
    }

    void add_reader(connection_ptr link) {
        cr_assert(link != nullptr);
        link->set_handlers(
            {[this](std::string_view) { ++heard; }, [](connection_end) {},
             nullptr});
        readers.push_back(std::move(link));
    }

    void run_until(const std::function<bool()>& condition) {
        timer poll(owner);
        std::function<void()> check = [&] {
            if (condition())
                owner.stop();
            else
                poll.start(base::milliseconds(1), check);
        };
        limit.start(test_limit, [] { cr_assert_fail("too late"); });
        check();
        owner.run();
        limit.stop();
    }

    loop owner;
    listener accepting;
    timer limit;
    std::vector<connection_ptr> readers;
    std::vector<connection_ptr> writers;
    std::size_t heard = 0;
};

void assert_heard_before_late_timer(std::size_t connections) {
    many_connections all(connections);
    std::size_t heard_at_timer = 0;
    bool fired = false;
    timer silence(all.owner);
    silence.start(due, [&] {
        heard_at_timer = all.heard;
        fired = true;
    });
    for (const connection_ptr& link : all.writers)
        link->write("x");
    std::this_thread::sleep_for(standstill);
    all.run_until([&] { return fired; });
    cr_assert(
        heard_at_timer == connections, "%zu of %zu", heard_at_timer,
        connections);
}

} // namespace

// Both guard against silence that is noticed before what has come is read.

Test(late_loop, what_came_on_one_connection_is_read_before_a_timer_fires) {
    assert_heard_before_late_timer(1);
}

Test(late_loop, what_came_on_many_connections_is_read_before_a_timer_fires) {
    assert_heard_before_late_timer(400);
}

// Guards against handlers that run although the loop has been stopped.
Test(late_loop, a_late_timer_that_stops_the_loop_is_the_last_one) {
    loop owner;
    timer first(owner);
    timer second(owner);
    bool second_fired = false;
    first.start(due, [&] { owner.stop(); });
    second.start(due * 2, [&] { second_fired = true; });
    std::this_thread::sleep_for(standstill);
    owner.run();
    cr_assert(!second_fired);
}
