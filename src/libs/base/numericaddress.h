// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <base/ids.h>

namespace sailtiller {

/// True if a connection can be made to the address from another machine: a number with a port, as
/// "127.0.0.1:80" or "[::1]:80". Short forms, names, and ports of 0 or above 65535 are none; 0.0.0.0 and [::]
/// would be this machine itself.
bool names_a_machine(const endpoint& address);
/// Reads an address that others have told. Throws `error`, without the text, if it names no machine.
endpoint read_endpoint(std::string text);

} // namespace sailtiller
