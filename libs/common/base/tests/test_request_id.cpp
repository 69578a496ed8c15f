#include <mintknot/base/request_id.hpp>

#include <criterion/criterion.h>

using namespace mintknot;

Test(request_id, survives_a_round_trip) {
    const auto id = base::make_request_id({"dc1", "entry-1", 0x19363f2c0a1});
    const auto parsed = base::parse_request_id(base::to_string(id));
    cr_assert(parsed.ok());
    cr_assert(*parsed == id);
}

Test(request_id, refuses_other_texts) {
    for (const char* text :
         {"", "....", "a.b.c", "dc1.e.zz.0123456789abcdef", "dc1.e.1f.0123",
          "dc 1.e.1f.0123456789abcdef"})
        cr_assert(!base::parse_request_id(text).ok(), "%s", text);
}
