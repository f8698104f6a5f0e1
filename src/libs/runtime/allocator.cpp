// SPDX-License-Identifier: Apache-2.0
#include <runtime/allocator.h>

#include <base/memorybudget.h>

#include <cstdint>
#include <malloc.h>
#include <sys/mman.h>
#include <unistd.h>

namespace sailtiller {

namespace {

/// Free bytes at the end of the heap that are kept for the next blocks.
constexpr int most_free_heap_bytes = 1 << 20;

} // namespace

void configure_allocator()
{
    // A refusal leaves the process sound, and larger than it needs to be.
    mallopt(M_MMAP_THRESHOLD, static_cast<int>(small_share_bytes));
    mallopt(M_TRIM_THRESHOLD, most_free_heap_bytes);
}

void return_free_memory()
{
    malloc_trim(0);
}

std::size_t discard_bytes(char* bytes, std::size_t size)
{
    if (size < small_share_bytes) {
        return 0;
    }
    const auto page = static_cast<std::uintptr_t>(sysconf(_SC_PAGESIZE));
    const auto begin = reinterpret_cast<std::uintptr_t>(bytes);
    const std::uintptr_t skipped = (page - begin % page) % page;
    const std::uintptr_t end = begin + size;
    if (skipped >= size) {
        return 0;
    }
    const std::size_t whole_pages = end - end % page - (begin + skipped);
    return madvise(bytes + skipped, whole_pages, MADV_DONTNEED) == 0 ? whole_pages : 0;
}

} // namespace sailtiller
