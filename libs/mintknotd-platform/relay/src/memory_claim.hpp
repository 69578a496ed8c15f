/// @file
/// What one connection holds of the memory that all share.
#ifndef MINTKNOT_RELAY_MEMORY_CLAIM_HPP
#define MINTKNOT_RELAY_MEMORY_CLAIM_HPP

#include <cstddef>
#include <utility>

namespace mintknot::relay {

/// Adds to an account what its owner holds, and takes it back with the owner.
/// Lifetime: the account must outlive it.
class memory_claim {
public:
    explicit memory_claim(std::size_t& account) noexcept
        : account_(&account) {}
    ~memory_claim() { set(0); }
    memory_claim(memory_claim&& other) noexcept
        : account_(other.account_)
        , bytes_(std::exchange(other.bytes_, 0)) {}
    memory_claim& operator=(memory_claim&& other) noexcept {
        std::swap(account_, other.account_);
        std::swap(bytes_, other.bytes_);
        return *this;
    }

    void set(std::size_t bytes) noexcept {
        *account_ += bytes - bytes_;
        bytes_ = bytes;
    }
    std::size_t bytes() const noexcept { return bytes_; }

private:
    std::size_t* account_;
    std::size_t bytes_ = 0;
};

} // namespace mintknot::relay

#endif
