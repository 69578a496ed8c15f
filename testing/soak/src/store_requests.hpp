/// @file
/// Requests to the stand-in for the store.
#ifndef MINTKNOT_SOAK_STORE_REQUESTS_HPP
#define MINTKNOT_SOAK_STORE_REQUESTS_HPP

#include <mintknot/base/address.hpp>
#include <mintknot/upstream/call.hpp>

#include <string>

namespace mintknot::soak {

/// A row to be written.
struct stored_row {
    std::string table;
    std::string key;
    std::string text;
};

/// @return a request that writes the row, whatever stands there.
upstream::call_request put_request(const stored_row& row);

/// Writes the row, and waits for the answer.
/// @return false if the store did not take it.
bool put_row(const base::address& store, const stored_row& row);

} // namespace mintknot::soak

#endif
