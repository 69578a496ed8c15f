#include <mintknot/policy/server_liveness.hpp>

#include <algorithm>

namespace mintknot::policy {

namespace {

/// A server that was heard so long before a request is taken to be up then.
constexpr base::milliseconds max_silence{300};
/// What is received within this time after an interruption may have been sent
/// during it.
constexpr base::milliseconds backlog_time{150};

/// @return true if the call was sent or broke when this process could not know
/// which servers had ended during the interruption.
bool is_affected(const broken_call_times& call, const interruption& gap) {
    return call.broke >= gap.began && call.sent < gap.ended + row_lapse_time;
}

} // namespace

void note_interruption(
    std::vector<interruption>& recent, const interruption& latest) {
    std::erase_if(recent, [&](const interruption& gap) {
        return gap.ended + 2 * row_lapse_time < latest.began;
    });
    recent.push_back(latest);
}

server_liveness liveness_when_sent(
    const broken_call_times& call, const std::vector<interruption>& recent) {
    const bool heard =
        call.server_heard && *call.server_heard + max_silence >= call.sent;
    const bool doubtful =
        std::any_of(recent.begin(), recent.end(), [&](const interruption& gap) {
            return is_affected(call, gap) &&
                   (!heard || *call.server_heard < gap.ended + backlog_time);
        });
    if (doubtful)
        return server_liveness::doubtful;
    return heard ? server_liveness::heard : server_liveness::assumed;
}

} // namespace mintknot::policy
