#include <mintknot/rpc/heartbeat_codec.hpp>

#include "peer.pb.h"

#include <algorithm>

namespace mintknot::rpc {

namespace {

using std::chrono::duration_cast;

std::uint32_t age_ms(base::steady_time since, base::steady_time now) {
    const auto age = duration_cast<base::milliseconds>(now - since).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(
        age, 0, std::numeric_limits<std::int32_t>::max()));
}

void fill(
    wire::member& target, const cluster::member& source,
    base::steady_time now) {
    target.mutable_id()->set_data_centre(source.id.data_centre);
    target.mutable_id()->set_name(source.id.name);
    target.mutable_id()->set_incarnation(source.id.incarnation);
    target.set_rpc(base::to_string(source.rpc));
    target.set_heartbeat(base::to_string(source.heartbeat));
    target.set_state(static_cast<std::uint32_t>(source.state));
    target.set_applied_revision(source.applied_revision);
    target.set_silent_ms(age_ms(source.last_heard, now));
}

std::optional<cluster::member>
member_from(const wire::member& source, base::steady_time now) {
    const auto rpc = base::parse_address(source.rpc());
    const auto heartbeat = base::parse_address(source.heartbeat());
    const bool named = base::is_valid_name(source.id().name()) &&
                       base::is_valid_name(source.id().data_centre());
    constexpr auto last =
        static_cast<std::uint32_t>(cluster::member_state::leaving);
    if (!rpc.ok() || !heartbeat.ok() || !named || source.state() > last)
        return std::nullopt;
    cluster::member result;
    result.id = {
        source.id().data_centre(), source.id().name(),
        source.id().incarnation()};
    result.rpc = *rpc;
    result.heartbeat = *heartbeat;
    result.state = static_cast<cluster::member_state>(source.state());
    result.applied_revision = source.applied_revision();
    result.last_heard = now - base::milliseconds{source.silent_ms()};
    return result;
}

void fill(
    wire::engine_load& target, const cluster::named_load& source,
    base::steady_time now) {
    target.set_engine(source.engine);
    target.set_incarnation(source.load.incarnation);
    target.set_kv_used(source.load.kv_used);
    target.set_kv_capacity(source.load.kv_capacity);
    target.set_running(source.load.running);
    target.set_queued_prefill(source.load.queued_prefill);
    target.set_step_ms(static_cast<float>(source.load.step_ms));
    target.set_leaving(source.load.leaving);
    target.set_reachable(source.load.reachable);
    target.set_age_ms(age_ms(source.load.read_at, now));
}

cluster::named_load
load_from(const wire::engine_load& source, base::steady_time now) {
    routing::engine_load load;
    load.incarnation = source.incarnation();
    load.kv_used = source.kv_used();
    load.kv_capacity = source.kv_capacity();
    load.running = source.running();
    load.queued_prefill = source.queued_prefill();
    load.step_ms = source.step_ms();
    load.leaving = source.leaving();
    load.reachable = source.reachable();
    load.read_at = now - base::milliseconds{source.age_ms()};
    return {source.engine(), load};
}

} // namespace

std::string encode(const cluster::heartbeat& value, base::steady_time now) {
    wire::heartbeat message;
    fill(*message.mutable_sender(), value.sender, now);
    for (const cluster::named_load& load : value.loads)
        fill(*message.add_loads(), load, now);
    for (const cluster::member& known : value.known)
        fill(*message.add_known(), known, now);
    return message.SerializeAsString();
}

std::optional<cluster::heartbeat>
decode_heartbeat(std::string_view bytes, base::steady_time now) {
    wire::heartbeat message;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return std::nullopt;
    const auto sender = member_from(message.sender(), now);
    if (!sender)
        return std::nullopt;
    cluster::heartbeat result;
    result.sender = *sender;
    for (const wire::engine_load& load : message.loads())
        result.loads.push_back(load_from(load, now));
    for (const wire::member& known : message.known())
        if (auto item = member_from(known, now))
            result.known.push_back(*std::move(item));
    return result;
}

} // namespace mintknot::rpc
