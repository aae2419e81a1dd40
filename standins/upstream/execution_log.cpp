#include "standins/upstream/execution_log.hpp"

#include <chrono>
#include <iostream>

#include <fcntl.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace hemlockshelf {

execution_log::execution_log(const std::string& path)
{
    if (!path.empty())
    {
        file_ = ::open(
            path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    }
}

execution_log::~execution_log()
{
    if (file_ >= 0)
    {
        ::close(file_);
    }
}

void execution_log::record(
    const std::string& request_id, const std::string& upstream)
{
    if (file_ < 0)
    {
        return;
    }
    const auto at = std::chrono::duration_cast<std::chrono::microseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    const nlohmann::json entry{
        {"request_id", request_id},
        {"upstream", upstream},
        {"at_us", at.count()}};
    const auto line = entry.dump() + "\n";
    if (::write(file_, line.data(), line.size()) !=
        static_cast<ssize_t>(line.size()))
    {
        std::cerr << "execution log: failed to write an entry\n";
    }
}

} // namespace hemlockshelf
