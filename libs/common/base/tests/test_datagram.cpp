#include <mintknot/base/datagram.hpp>

#include <criterion/criterion.h>

using namespace mintknot::base;
using nlohmann::json;

namespace {

constexpr message_types types{22, 24};

std::string text_of(const json& row) {
    return row.at(1).get<std::string>();
}

} // namespace

Test(datagram, a_message_of_a_known_type_is_read) {
    const auto text =
        decode_datagram(encode_datagram({23, "x"}), types, text_of);
    cr_assert(text.ok() && *text == "x");
}

Test(datagram, a_message_of_many_elements_is_read) {
    json row = {22, "x"};
    while (row.size() < 40)
        row.push_back(0);
    cr_assert(decode_datagram(encode_datagram(row), types, text_of).ok());
}

Test(datagram, other_types_and_malformed_fields_are_refused) {
    cr_assert(
        !decode_datagram(encode_datagram({21, "x"}), types, text_of).ok());
    cr_assert(
        !decode_datagram(encode_datagram({25, "x"}), types, text_of).ok());
    cr_assert(!decode_datagram(encode_datagram({22}), types, text_of).ok());
    cr_assert(!decode_datagram(encode_datagram({22, 7}), types, text_of).ok());
    const std::string good = encode_datagram({22, "text"});
    for (std::size_t length = 0; length < good.size(); ++length)
        cr_assert(
            !decode_datagram(good.substr(0, length), types, text_of).ok());
}

Test(datagram, bounds_are_checked) {
    cr_assert(bounded_rows({1, 2}, 2).size() == 2);
    cr_assert_throw(bounded_rows({1, 2}, 1), json::exception);
    cr_assert_throw(bounded_rows("x", 1), json::exception);
    cr_assert(non_negative_time(5) == milliseconds(5));
    cr_assert_throw(non_negative_time(-1), json::exception);
}
