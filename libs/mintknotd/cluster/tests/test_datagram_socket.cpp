#include <mintknot/cluster/datagram_socket.hpp>

#include <criterion/criterion.h>

#include <latch>
#include <thread>

using namespace mintknot;

Test(datagram_socket, receives_what_was_sent) {
    cluster::datagram_socket receiver;
    cluster::datagram_socket sender;
    cr_assert(receiver.open({"127.0.0.1", 0}).ok());
    cr_assert(sender.open({"127.0.0.1", 0}).ok());
    std::string got;
    std::latch arrived(1);
    std::thread thread([&] {
        receiver.run([&](std::string_view datagram) {
            got = datagram;
            arrived.count_down();
        });
    });
    sender.send({"127.0.0.1", receiver.port()}, "hello");
    arrived.wait();
    receiver.stop();
    thread.join();
    cr_assert(got == "hello");
}

Test(datagram_socket, a_taken_port_is_reported) {
    cluster::datagram_socket first;
    cluster::datagram_socket second;
    cr_assert(first.open({"127.0.0.1", 0}).ok());
    cr_assert(!second.open({"127.0.0.1", first.port()}).ok());
    cr_assert(!second.open({"localhost", 0}).ok());
}
