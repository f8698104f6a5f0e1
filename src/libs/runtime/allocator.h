// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstddef>

namespace sailtiller {

/// Makes the C library keep large blocks apart from the heap for good, so that each is given back to the
/// system when it is freed; called once, at the start of a process. Left alone, it raises the size of what it
/// keeps apart with each large block that is freed, until bodies land in the heap and stay there.
void configure_allocator();

/// Gives the heap's free pages back to the system.
void return_free_memory();

/// Gives the memory of bytes that nobody reads any more back to the system, although their buffer lives on;
/// they are zeros then. Returns how many bytes that are: whole pages of large buffers, none of small ones.
std::size_t discard_bytes(char* bytes, std::size_t size);

} // namespace sailtiller
