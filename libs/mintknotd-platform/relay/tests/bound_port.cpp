#include "bound_port.hpp"

#include <criterion/criterion.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace mintknot::relay::tests {

bound_port::bound_port()
    : socket_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in where{};
    where.sin_family = AF_INET;
    where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    auto* address = reinterpret_cast<sockaddr*>(&where);
    socklen_t size = sizeof where;
    cr_assert(::bind(socket_, address, size) == 0);
    cr_assert(::getsockname(socket_, address, &size) == 0);
    number_ = ntohs(where.sin_port);
}

bound_port::~bound_port() {
    ::close(socket_);
}

} // namespace mintknot::relay::tests
