#include <mintknot/event/connection.hpp>
#include <mintknot/event/datagrams.hpp>
#include <mintknot/event/listener.hpp>

#include <criterion/criterion.h>

#include <string>
#include <thread>

using namespace mintknot;
using namespace mintknot::event;

namespace {

constexpr base::milliseconds test_limit{10000};

/// A connection to a listener on the same loop.
struct pair_of_connections {
    pair_of_connections()
        : accepting(owner)
        , limit(owner) {
        cr_assert(accepting
                      .open(
                          {"127.0.0.1", 0},
                          [this](connection_ptr link) {
                              accepted = std::move(link);
                              if (connected)
                                  owner.stop();
                          })
                      .ok());
        connect(
            owner, {"127.0.0.1", accepting.port()}, test_limit,
            [this](connection_ptr link, connect_result) {
                connected = std::move(link);
                if (accepted)
                    owner.stop();
            });
        run();
        cr_assert(accepted != nullptr);
        cr_assert(connected != nullptr);
    }
    /// Runs until somebody stops the loop.
    void run() {
        bool late = false;
        limit.start(test_limit, [&] {
            late = true;
            owner.stop();
        });
        owner.run();
        limit.stop();
        cr_assert(!late);
    }

    loop owner;
    listener accepting;
    timer limit;
    connection_ptr accepted;
    connection_ptr connected;
};

connection_handlers ignoring_data(std::function<void(connection_end)> on_end) {
    return {[](std::string_view) {}, std::move(on_end), nullptr};
}

} // namespace

// A body was copied for each server that it was sent to.
Test(connection, shared_bytes_are_written_without_a_copy) {
    constexpr std::size_t size = 32 * 1024 * 1024;
    pair_of_connections both;
    const auto bytes = std::make_shared<const std::string>(size, 'b');
    both.connected->write("head ");
    both.connected->write(bytes);
    cr_assert(both.connected->queued_bytes() > 0);
    cr_assert(bytes.use_count() == 2);
    std::string seen;
    both.accepted->set_handlers(
        {[&](std::string_view piece) {
             seen += piece;
             if (seen.size() == size + 5)
                 both.owner.stop();
         },
         [](connection_end) {}, nullptr});
    both.run();
    cr_assert(seen == "head " + *bytes);
    cr_assert(both.connected->wrote_everything());
    cr_assert(bytes.use_count() == 1);
}

Test(connection, carries_bytes_and_an_orderly_end) {
    pair_of_connections both;
    std::string seen;
    connection_end how = connection_end::broken;
    both.accepted->set_handlers(
        {[&](std::string_view bytes) { seen += bytes; },
         [&](connection_end end) {
             how = end;
             both.owner.stop();
         },
         nullptr});
    both.connected->write(std::string(300000, 'x'));
    both.connected->close();
    both.run();
    cr_assert(seen.size() == 300000);
    cr_assert(how == connection_end::orderly);
}

Test(connection, a_reset_is_no_orderly_end) {
    pair_of_connections both;
    connection_end how = connection_end::orderly;
    both.accepted->set_handlers(ignoring_data([&](connection_end end) {
        how = end;
        both.owner.stop();
    }));
    both.connected->reset();
    both.run();
    cr_assert(how == connection_end::broken);
}

Test(connection, queues_for_a_slow_reader_and_tells_when_it_has_caught_up) {
    pair_of_connections both;
    std::size_t seen = 0;
    bool drained = false;
    both.connected->set_handlers(
        {[](std::string_view) {}, [](connection_end) {},
         [&] {
             drained = true;
             both.owner.stop();
         }});
    both.connected->write(std::string(20 * 1024 * 1024, 'x'));
    cr_assert(both.connected->queued_bytes() > 0);
    both.accepted->set_handlers(
        {[&](std::string_view bytes) { seen += bytes.size(); },
         [](connection_end) {}, nullptr});
    both.run();
    cr_assert(drained);
    cr_assert(both.connected->queued_bytes() == 0);
}

// The system closes the sockets of a killed process; destroying one does too.
Test(connection, an_unfinished_message_ends_with_a_reset) {
    for (const bool unfinished : {true, false}) {
        pair_of_connections both;
        std::size_t seen = 0;
        connection_end how = connection_end::orderly;
        both.connected->set_handlers(
            {[&](std::string_view bytes) {
                 seen += bytes.size();
                 both.owner.stop();
             },
             [&](connection_end end) {
                 how = end;
                 both.owner.stop();
             },
             nullptr});
        if (unfinished)
            both.accepted->reset_unless_closed();
        both.accepted->write("half");
        both.run();
        both.accepted.reset();
        both.run();
        cr_assert(seen == 4);
        cr_assert(
            how ==
            (unfinished ? connection_end::broken : connection_end::orderly));
    }
}

Test(connection, a_finished_message_ends_in_an_orderly_way) {
    pair_of_connections both;
    constexpr std::size_t much = 8'000'000;
    std::size_t seen = 0;
    connection_end how = connection_end::broken;
    both.connected->set_handlers(
        {[&](std::string_view bytes) { seen += bytes.size(); },
         [&](connection_end end) {
             how = end;
             both.owner.stop();
         },
         nullptr});
    both.accepted->reset_unless_closed();
    both.accepted->write(std::string(much, 'x'));
    both.accepted->close();
    both.run();
    cr_assert(seen == much);
    cr_assert(how == connection_end::orderly);
}

// A reset under an upload was told as an orderly end if the write found it.
Test(connection, a_reset_that_a_write_has_found_is_no_orderly_end) {
    pair_of_connections both;
    connection_end how = connection_end::orderly;
    std::string seen;
    both.connected->set_handlers(
        {[&](std::string_view bytes) { seen += bytes; },
         [&](connection_end end) {
             how = end;
             both.owner.stop();
         },
         nullptr});
    both.connected->write(std::string(16 * 1024 * 1024, 'x'));
    cr_assert(both.connected->queued_bytes() > 0);
    both.accepted->write("half");
    event::timer later(both.owner);
    later.start(base::milliseconds(20), [&] { both.accepted->reset(); });
    both.run();
    cr_assert(seen == "half");
    cr_assert(how == connection_end::broken);
}

Test(connection, no_handler_runs_after_an_abort) {
    pair_of_connections both;
    bool called = false;
    both.accepted->set_handlers(
        {[&](std::string_view) { called = true; },
         [&](connection_end) { called = true; }, nullptr});
    both.connected->write("x");
    both.accepted->abort();
    both.connected->set_handlers(
        ignoring_data([&](connection_end) { both.owner.stop(); }));
    both.run();
    cr_assert(!called);
}

Test(connection, connecting_to_a_closed_port_yields_null) {
    loop owner;
    timer limit(owner);
    bool called = false;
    std::uint16_t port = 0;
    {
        listener gone(owner);
        cr_assert(
            gone.open({"127.0.0.1", 0}, [](const connection_ptr&) {}).ok());
        port = gone.port();
    }
    connect(
        owner, {"127.0.0.1", port}, test_limit,
        [&](const connection_ptr& link, connect_result result) {
            called = link == nullptr && result == connect_result::refused;
            owner.stop();
        });
    limit.start(test_limit, [&] { owner.stop(); });
    owner.run();
    cr_assert(called);
}

Test(datagrams, are_received_with_their_sender) {
    loop owner;
    timer limit(owner);
    datagrams one(owner);
    datagrams two(owner);
    std::string seen;
    std::uint16_t from_port = 0;
    cr_assert(
        one.open({"127.0.0.1", 0}, [](const base::address&, auto) {}).ok());
    cr_assert(two.open(
                     {"127.0.0.1", 0},
                     [&](const base::address& from, std::string_view bytes) {
                         seen = bytes;
                         from_port = from.port;
                         owner.stop();
                     })
                  .ok());
    one.send({"127.0.0.1", two.port()}, "hello");
    limit.start(test_limit, [&] { owner.stop(); });
    owner.run();
    cr_assert(seen == "hello");
    cr_assert(from_port == one.port());
}

Test(timer, a_stopped_timer_does_not_fire) {
    loop owner;
    timer first(owner);
    timer second(owner);
    bool fired = false;
    first.start(base::milliseconds(1), [&] { fired = true; });
    first.stop();
    second.start(base::milliseconds(20), [&] { owner.stop(); });
    owner.run();
    cr_assert(!fired);
}

Test(loop, a_delay_is_told_once_for_all_timers_that_were_due) {
    event::loop owner;
    std::vector<base::milliseconds> delays;
    owner.on_delay(base::milliseconds(50), [&](base::milliseconds delay) {
        delays.push_back(delay);
    });
    event::timer first(owner);
    event::timer second(owner);
    event::timer last(owner);
    int fired = 0;
    first.start(base::milliseconds(10), [&] { ++fired; });
    second.start(base::milliseconds(20), [&] { ++fired; });
    last.start(base::milliseconds(300), [&] { owner.stop(); });
    owner.post([] { std::this_thread::sleep_for(base::milliseconds(150)); });
    owner.run();
    cr_assert(fired == 2);
    cr_assert(delays.size() == 1);
    cr_assert(delays[0] >= base::milliseconds(130));
    cr_assert(delays[0] <= base::milliseconds(250));
}
