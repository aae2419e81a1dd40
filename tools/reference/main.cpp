// Writes or checks the reference pages.

#include <exception>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <string>

#include <gflags/gflags.h>

#include "tools/reference/reference_pages.hpp"

DEFINE_string(directory, "docs/reference", "folder of the pages");
DEFINE_bool(check, false, "compare the pages with the program, write nothing");

namespace {

namespace fs = std::filesystem;

std::string read_file(const fs::path& path)
{
    std::ifstream file(path);
    return {std::istreambuf_iterator<char>(file), {}};
}

std::size_t count_pages(const fs::path& directory)
{
    std::size_t count = 0;
    for (const auto& entry : fs::recursive_directory_iterator(directory))
    {
        count += entry.is_regular_file() ? 1 : 0;
    }
    return count;
}

int check(const hemlockshelf::page_map& pages, const fs::path& directory)
{
    int differences = 0;
    for (const auto& [path, text] : pages)
    {
        if (read_file(directory / path) != text)
        {
            std::cerr << path
                      << ": differs from the program; run "
                         "build/bin/hemlockshelf_reference\n";
            ++differences;
        }
    }
    if (count_pages(directory) != pages.size())
    {
        std::cerr << directory << ": holds pages that the program lacks\n";
        ++differences;
    }
    return differences == 0 ? 0 : 1;
}

void write(const hemlockshelf::page_map& pages, const fs::path& directory)
{
    fs::remove_all(directory);
    for (const auto& [path, text] : pages)
    {
        fs::create_directories((directory / path).parent_path());
        std::ofstream(directory / path) << text;
    }
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    try
    {
        const auto pages = hemlockshelf::make_reference_pages();
        if (FLAGS_check)
        {
            return check(pages, FLAGS_directory);
        }
        write(pages, FLAGS_directory);
    }
    catch (const std::exception& failure)
    {
        std::cerr << failure.what() << "\n";
        return 1;
    }
    return 0;
}
