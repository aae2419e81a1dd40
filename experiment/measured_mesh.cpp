#include "experiment/measured_mesh.hpp"

#include "experiment/final_checks.hpp"

namespace hemlockshelf {

bool start_with_tables(
    cluster& mesh, const std::string& name, measurements& found)
{
    auto problems = mesh.start();
    run_history history;
    if (problems.empty())
    {
        apply_tables(mesh, history, problems);
    }
    if (!problems.empty())
    {
        found.push_back({name, "", {}, "not measured: " + problems.front()});
    }
    return problems.empty();
}

} // namespace hemlockshelf
