/// @file
/// The end of an exchange: its metrics and the `finished` log line, from which
/// the loss report is computed.

#include <mintknot/relay/exchange.hpp>

namespace mintknot::relay {

namespace {

/// In the log line of a caller that states no deadline.
constexpr base::milliseconds no_deadline{0};

} // namespace

std::string_view
exchange::digest_for_log(std::string_view outcome, bool caller_retry) const {
    const bool refused = verdict_ == base::verdict::not_run &&
                         outcome != "answered" && outcome != "caller_left";
    return refused || caller_retry ? std::string_view(identity_.digest())
                                   : std::string_view{};
}

void exchange::finish(std::string_view outcome) {
    finished_ = true;
    deadline_timer_.stop();
    return_usage();
    context_.metrics.count_request(
        {route_.name, std::string(outcome), first_byte_, since_arrival(),
         longest_gap_});
    const bool caller_retry = is_caller_retry();
    const std::string organisation = organisation_name();
    context_.log.write(
        "finished",
        {{"request", request_.terms.id},
         {"route", route_.name},
         {"outcome", outcome},
         {"sends", std::int64_t{sends_}},
         {"returned", caller_retry},
         {"target_ms", route_.target_latency.count()},
         {"waited_ms", first_send_.value_or(since_arrival()).count()},
         {"first_byte_ms", first_byte_.count()},
         {"total_ms", since_arrival().count()},
         {"verdict", base::to_string(verdict_)},
         {"digest", digest_for_log(outcome, caller_retry)},
         {"deadline_ms", request_.terms.deadline.value_or(no_deadline).count()},
         {"priority", std::int64_t{priority()}},
         {"organisation", organisation},
         {"longest_gap_ms", longest_gap_.count()},
         {"target_gap_ms", route_.target_gap.count()}});
}

} // namespace mintknot::relay
