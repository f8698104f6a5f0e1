// SPDX-License-Identifier: Apache-2.0
#include <base/error.h>
#include <runtime/textfile.h>

#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <sstream>
#include <sys/stat.h>
#include <unistd.h>

namespace sailtiller {

std::string read_text_file(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream content;
    content << file.rdbuf();
    if (!file) {
        throw error({"read file", path}, "can't be read; check the path and its permissions");
    }
    return content.str();
}

void write_new_text_file(const std::string& path, const std::string& content, bool is_secret)
{
    const mode_t mode = is_secret ? S_IRUSR | S_IWUSR : S_IRUSR | S_IWUSR | S_IRGRP | S_IROTH;
    const int descriptor = open(path.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, mode);
    if (descriptor < 0) {
        throw error({"write file", path}, std::strerror(errno));
    }
    const ssize_t written = write(descriptor, content.data(), content.size());
    const bool is_whole = written == static_cast<ssize_t>(content.size());
    if (close(descriptor) != 0 || !is_whole) {
        throw error({"write file", path}, "not written whole; check the space on the device");
    }
}

} // namespace sailtiller
