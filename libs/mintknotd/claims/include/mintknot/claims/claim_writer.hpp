/// @file
/// Writes rows of many requests in few transactions.
#ifndef MINTKNOT_CLAIMS_CLAIM_WRITER_HPP
#define MINTKNOT_CLAIMS_CLAIM_WRITER_HPP

#include <mintknot/base/time.hpp>
#include <mintknot/table_service/table_client.hpp>

#include <cstddef>
#include <memory>
#include <stop_token>

namespace mintknot::claims {

struct claim_writer_options {
    /// Longest wait for others to share a transaction.
    base::milliseconds gather{5};
    std::size_t most_in_group = 64;
    /// Writes that may wait; more are refused at once.
    std::size_t most_waiting = 1024;
};

/// Groups conditional writes. The rows of a group are independent: if one
/// conflicts, the others are tried again without it.
///
/// Thread: run() on one thread; write() from any thread, blocks.
class claim_writer {
public:
    claim_writer(
        table_service::table_client& platform,
        const claim_writer_options& options);
    ~claim_writer();
    claim_writer(const claim_writer&) = delete;
    claim_writer& operator=(const claim_writer&) = delete;

    /// Writes one row and waits for the outcome.
    table_service::commit_result write(const table_service::table_write& row);

    /// Serves write() until the stop.
    void run(const std::stop_token& stop);

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace mintknot::claims

#endif
