#include <mintknot/table_service/transaction.hpp>

#include <utility>

namespace mintknot::table_service {

table_write insert_if_absent(std::string key, nlohmann::json value) {
    return {table_write::action::put, std::move(key), std::move(value), 0};
}

table_write
replace(std::string key, nlohmann::json value, std::uint64_t expected) {
    return {
        table_write::action::put, std::move(key), std::move(value), expected};
}

table_write erase(std::string key, std::uint64_t expected) {
    return {table_write::action::erase, std::move(key), {}, expected};
}

} // namespace mintknot::table_service
