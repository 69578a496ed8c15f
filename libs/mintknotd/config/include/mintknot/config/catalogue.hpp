/// @file
/// An immutable picture of the whole configuration at one revision.
#ifndef MINTKNOT_CONFIG_CATALOGUE_HPP
#define MINTKNOT_CONFIG_CATALOGUE_HPP

#include <mintknot/config/change.hpp>
#include <mintknot/config/specs.hpp>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace mintknot::config {

/// A typed resource.
template<class Spec> struct entry {
    std::string name;
    std::uint64_t revision = 0;
    Spec spec;
    nlohmann::json document; ///< As the operator wrote it.
};

template<class Spec> using entry_ptr = std::shared_ptr<const entry<Spec>>;

/// The entries of one kind by name.
template<class Spec>
using entry_map = std::map<std::string, entry_ptr<Spec>, std::less<>>;

/// All resources at one head revision. Entries of unchanged kinds are shared
/// between catalogues, so that a change costs one copy of one kind's map.
///
/// @code
/// catalogue next = current.with({change});
/// auto service = next.service_for_model("assistant");
/// @endcode
///
/// Thread: immutable once it is shared.
class catalogue {
public:
    catalogue();

    /// @return the catalogue after the changes, which must be in order; those
    /// at or below its revision are skipped.
    catalogue with(const std::vector<change>& changes) const;

    /// @return a catalogue of these resources. A resource that cannot be
    /// parsed is left out (a newer version may have written it).
    static catalogue
    from(const std::vector<resource>& resources, std::uint64_t revision);

    std::uint64_t revision() const noexcept { return revision_; }

    /// Each returns nullptr if there is none.
    entry_ptr<service_spec> service(std::string_view name) const;
    entry_ptr<service_spec> service_for_model(std::string_view model) const;
    entry_ptr<pool_spec> pool(std::string_view name) const;
    entry_ptr<request_class_spec> request_class(std::string_view name) const;
    entry_ptr<organisation_spec>
    organisation_for_digest(const std::string& key_digest) const;

    const entry_map<backend_server_spec>& backend_servers() const;
    const entry_map<service_spec>& services() const;

    /// @return the data centres that have backend servers.
    std::set<std::string> data_centres() const;

    /// @return every resource of a kind, in the order of names.
    std::vector<resource> list(resource_kind kind) const;
    /// @return the resource; its revision is 0 if there is none.
    resource get(resource_kind kind, std::string_view name) const;

    /// @return why a change would leave a reference without its target, or an
    /// empty text.
    std::string broken_reference(const change& wanted) const;

private:
    struct kinds;
    class kinds_editor;

    std::string missing_target(const change& wanted) const;
    std::string remaining_reference(const change& wanted) const;

    std::uint64_t revision_ = 0;
    std::shared_ptr<const kinds> kinds_;
};

} // namespace mintknot::config

#endif
