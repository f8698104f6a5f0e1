// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/ids.h>

#include <string>
#include <vector>

namespace sailtiller::tests {

/// A proxy whose open connections can go silent for good: nothing comes over them any more, and they are not
/// closed. Connections that are made later work.
class silencing_proxy
{
public:
    explicit silencing_proxy(const endpoint& target);
    ~silencing_proxy();
    silencing_proxy(const silencing_proxy&) = delete;
    silencing_proxy& operator=(const silencing_proxy&) = delete;

    [[nodiscard]] const endpoint& address() const { return this->own_address; }
    /// Connections taken so far.
    [[nodiscard]] std::size_t connection_count() const { return this->links.size(); }
    /// Takes connections and passes on what has come over them.
    void pump();
    /// The connections that are open now carry nothing from here on.
    void silence();

private:
    struct link
    {
        int caller = -1;
        int target = -1;
        bool is_silent = false;
        std::string to_caller;
        std::string to_target;
    };

    void take_connections();

    endpoint target;
    endpoint own_address;
    int listener = -1;
    std::vector<link> links;
};

} // namespace sailtiller::tests
