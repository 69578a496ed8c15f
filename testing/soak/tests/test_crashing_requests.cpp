#include "check_soak.hpp"

#include <criterion/criterion.h>

using namespace mintknot;
using namespace mintknot::soak;

namespace {

/// Two instances and enough servers that some are always up.
soak_options two_instances(request_kind crashing) {
    soak_options options;
    options.instances = 2;
    options.undisturbed = true;
    options.crashing = {crashing};
    options.decode_engines = 10;
    options.plain_servers = 4;
    return options;
}

} // namespace

Test(crashing_requests, a_stream_is_not_sent_to_one_server_after_another) {
    check_soak(two_instances(request_kind::stream));
}

Test(crashing_requests, a_resumable_one_is_not_sent_to_one_after_another) {
    check_soak(two_instances(request_kind::resumable));
}

Test(crashing_requests, a_plain_one_is_not_sent_to_one_server_after_another) {
    check_soak(two_instances(request_kind::unsafe));
}
