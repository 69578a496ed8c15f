#include <mintknot/rpc/heartbeat_codec.hpp>

#include <criterion/criterion.h>

using namespace mintknot;

namespace {

const base::steady_time now = base::steady_time{} + std::chrono::hours(1);

cluster::member sample(const std::string& name) {
    cluster::member result;
    result.id = {"dc1", name, 77};
    result.rpc = {"127.0.0.1", 1};
    result.heartbeat = {"127.0.0.1", 2};
    result.state = cluster::member_state::ready;
    result.applied_revision = 9;
    result.last_heard = now - base::milliseconds{250};
    return result;
}

} // namespace

Test(heartbeat_codec, survives_a_round_trip_between_clocks) {
    cluster::heartbeat value;
    value.sender = sample("a");
    value.known = {sample("b")};
    routing::engine_load load;
    load.kv_used = 5;
    load.read_at = now - base::milliseconds{100};
    value.loads = {{"e1", load}};
    const auto there = now + std::chrono::hours(5);
    const auto decoded = rpc::decode_heartbeat(rpc::encode(value, now), there);
    cr_assert(decoded.has_value());
    cr_assert(decoded->sender.id == value.sender.id);
    cr_assert(decoded->known[0].last_heard == there - base::milliseconds{250});
    cr_assert(
        decoded->loads[0].load.read_at == there - base::milliseconds{100});
    cr_assert_eq(decoded->loads[0].load.kv_used, 5U);
}

Test(heartbeat_codec, refuses_other_bytes) {
    cr_assert(!rpc::decode_heartbeat("garbage", now).has_value());
    cr_assert(!rpc::decode_heartbeat("", now).has_value());
    cluster::heartbeat value;
    value.sender = sample("a b");
    cr_assert(!rpc::decode_heartbeat(rpc::encode(value, now), now).has_value());
}
