#include <mintknot/net/http_client.hpp>
#include <mintknot/net/http_server.hpp>
#include <mintknot/standins/fault_proxy.hpp>

#include <criterion/criterion.h>
#include <httplib.h>

#include <atomic>
#include <thread>

using namespace mintknot;
using standins::link_mode;
using standins::silent_way;

namespace {

/// A server behind one link.
struct proxied_server {
    proxied_server() {
        server.routes().Get("/", [this](const auto&, auto& out) {
            ++calls;
            out.set_content(std::string(1000, 'a'), "text/plain");
        });
        const base::address real{"127.0.0.1", *server.start({"127.0.0.1", 0})};
        where = {"127.0.0.1", *proxy.add_link("s", real)};
    }
    net::http_response
    get(base::milliseconds patience = base::milliseconds{2000}) {
        net::http_client client;
        return client.call(where, {.path = "/", .read_timeout = patience});
    }
    void fail(const standins::link_fault& fault) {
        cr_assert(proxy.set_fault("s", fault).ok());
    }

    net::http_server server{{}};
    std::atomic<int> calls{0};
    standins::fault_proxy proxy;
    base::address where;
};

} // namespace

Test(fault_proxy, passes_cuts_and_heals) {
    proxied_server link;
    cr_assert_eq(link.get().body.size(), 1000U);
    link.fail({link_mode::cut});
    cr_assert(!link.get().answered());
    cr_assert_eq(link.calls.load(), 1);
    link.fail({link_mode::pass});
    cr_assert(link.get().ok());
    cr_assert(!link.proxy.set_fault("none", {}).ok());
}

Test(fault_proxy, a_dropped_answer_has_run) {
    proxied_server link;
    link.fail({link_mode::drop_answer});
    const auto answer = link.get();
    cr_assert(!answer.answered());
    cr_assert(answer.run == base::verdict::may_have_run);
    cr_assert_eq(link.calls.load(), 1);
}

Test(fault_proxy, a_stalled_answer_goes_on_after_the_heal) {
    proxied_server link;
    link.fail({link_mode::stall, {}, 100});
    cr_assert(!link.get(base::milliseconds{100}).answered());
    net::http_response late;
    std::thread caller([&] { late = link.get(base::milliseconds{20000}); });
    while (link.calls.load() < 2)
        std::this_thread::yield();
    link.fail({link_mode::pass});
    caller.join();
    cr_assert_eq(late.body.size(), 1000U);
}

Test(fault_proxy, a_silence_holds_one_way_back_until_it_ends) {
    proxied_server link;
    link.fail({.mode = link_mode::silence, .way = silent_way::to_server});
    cr_assert(!link.get(base::milliseconds{100}).answered());
    cr_assert_eq(link.calls.load(), 0);
    link.fail({.mode = link_mode::silence, .way = silent_way::to_caller});
    net::http_response late;
    std::thread caller([&] { late = link.get(base::milliseconds{20000}); });
    // The first request arrives late, the second one at once.
    while (link.calls.load() < 2)
        std::this_thread::yield();
    link.fail({link_mode::pass});
    caller.join();
    cr_assert_eq(late.body.size(), 1000U);
}

Test(fault_proxy, a_reset_ends_open_connections_and_refuses_new_ones) {
    proxied_server link;
    link.fail({link_mode::stall, {}, 0});
    net::http_response broken;
    std::thread caller([&] { broken = link.get(base::milliseconds{20000}); });
    while (link.calls.load() < 1)
        std::this_thread::yield();
    link.fail({link_mode::reset});
    caller.join();
    cr_assert(!broken.answered());
    cr_assert(!link.get().answered());
    link.fail({link_mode::pass});
    cr_assert(link.get().ok());
}

Test(fault_proxy, a_link_can_lead_to_another_server) {
    proxied_server link;
    net::http_server other{{}};
    other.routes().Get("/", [](const auto&, auto& out) {
        out.set_content("other", "text/plain");
    });
    const base::address where{"127.0.0.1", *other.start({"127.0.0.1", 0})};
    cr_assert(link.proxy.retarget("s", where).ok());
    cr_assert(link.get().body == "other");
    cr_assert(!link.proxy.retarget("none", where).ok());
}

Test(fault_proxy, a_partition_leaves_new_connections_unanswered) {
    proxied_server link;
    cr_assert(link.get().ok());
    link.fail({link_mode::partition});
    net::http_client client;
    const auto answer = client.call(
        link.where, {.path = "/",
                     .connect_timeout = base::milliseconds{150},
                     .read_timeout = base::milliseconds{2000}});
    cr_assert(!answer.answered());
    cr_assert(answer.run == base::verdict::not_run);
    link.fail({link_mode::pass});
    cr_assert(link.get().ok());
    cr_assert_eq(link.calls.load(), 2);
}

Test(fault_proxy, a_refusing_link_heals) {
    proxied_server link;
    link.fail({link_mode::refuse_new});
    cr_assert(link.get().run == base::verdict::not_run);
    link.fail({link_mode::reset_refuse});
    cr_assert(link.get().run == base::verdict::not_run);
    link.fail({link_mode::pass});
    cr_assert(link.get().ok());
    cr_assert_eq(link.calls.load(), 1);
}
