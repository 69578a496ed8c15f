#include <mintknot/http1/serialize.hpp>

#include <criterion/criterion.h>

using namespace mintknot::http1;

Test(serialize, writes_a_request_with_its_length) {
    request_head head;
    head.method = "POST";
    head.target = "/p?q";
    head.fields = {{"Host", "h"}};
    cr_assert(
        serialize(head, "abc") ==
        "POST /p?q HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc");
}

Test(serialize, a_get_without_body_has_no_length) {
    request_head head;
    head.method = "GET";
    head.target = "/";
    cr_assert(serialize(head, "") == "GET / HTTP/1.1\r\n\r\n");
}

Test(serialize, frames_answers) {
    response_head head;
    head.status = 200;
    head.body = framing::chunked;
    cr_assert(
        serialize(head) ==
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    head.body = framing::close;
    head.keep_alive = false;
    cr_assert(
        serialize(head) == "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n");
}

Test(fields, drops_what_concerns_one_connection) {
    field_list fields = {
        {"Connection", "close, X-Private"},
        {"x-private", "1"},
        {"Keep-Alive", "timeout=5"},
        {"Transfer-Encoding", "chunked"},
        {"Content-Length", "4"},
        {"X-Kept", "yes"}};
    erase_hop_fields(fields);
    cr_assert(fields.size() == 1);
    cr_assert(fields[0].name == "X-Kept");
}

Test(fields, numbers_are_read_strictly) {
    const field_list fields = {{"A", "12"}, {"B", "12x"}, {"C", "-1"}};
    cr_assert(find_number(fields, "a") == 12u);
    cr_assert(!find_number(fields, "B"));
    cr_assert(!find_number(fields, "C"));
    cr_assert(!find_number(fields, "D"));
}
