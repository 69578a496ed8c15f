#include "answer_status.hpp"

namespace mintknot::relay {

policy::call_end end_of_answer(int status, const answer_metadata& says) {
    if (says.not_executed || status == status_misdirected)
        return policy::call_end::rejected;
    const bool lacks_signature = is_success(status) && !says.has_signature;
    if (says.has_content_coding || lacks_signature)
        return policy::call_end::bad_answer;
    return is_server_failure(status) ? policy::call_end::server_failure
                                     : policy::call_end::answered;
}

} // namespace mintknot::relay
