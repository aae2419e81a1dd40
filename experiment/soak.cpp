#include "experiment/soak.hpp"

#include <algorithm>
#include <iostream>
#include <random>
#include <vector>

#include <fmt/format.h>

#include "experiment/disturbance.hpp"
#include "experiment/trial.hpp"

namespace hemlockshelf {

namespace {

constexpr std::size_t smallest_mesh = 8;
constexpr std::size_t largest_mesh = 24;
constexpr std::size_t most_disturbances = 3;

/// Derives all options of a trial from its seed, so that the same seed
/// reproduces the trial.
trial_options random_trial(const soak_options& soak, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    trial_options trial;
    trial.seed_ = seed;
    const auto* user = random() % 2 == 0 ? "/regie" : "/guild";
    trial.cluster_.deployment_ = load_deployment(soak.examples_folder_ + user);
    trial.cluster_.bin_folder_ = soak.bin_folder_;
    trial.cluster_.nodes_ =
        smallest_mesh + random() % (largest_mesh - smallest_mesh + 1);
    const auto known = all_disturbances();
    std::vector<disturbance> shuffled(known.begin(), known.end());
    std::erase_if(
        shuffled,
        [](const disturbance& item)
        {
            return item.needs_isolation_;
        });
    std::ranges::shuffle(shuffled, random);
    const auto count = 1 + random() % most_disturbances;
    for (std::size_t index = 0; index < count; ++index)
    {
        trial.disturbances_.emplace_back(shuffled[index].name_);
    }
    return trial;
}

} // namespace

int run_soak(const soak_options& options)
{
    const auto until = std::chrono::steady_clock::now() + options.duration_;
    int failed = 0;
    for (auto seed = options.seed_; std::chrono::steady_clock::now() < until;
         ++seed)
    {
        const auto trial = random_trial(options, seed);
        std::cout << fmt::format(
                         "trial --seed {}: {}, {} nodes, {}", seed,
                         trial.cluster_.deployment_.account_,
                         trial.cluster_.nodes_,
                         fmt::join(trial.disturbances_, " + "))
                  << std::endl;
        const auto result = run_trial(trial);
        std::cout << to_text(result) << std::flush;
        failed += result.problems_.empty() ? 0 : 1;
    }
    std::cout << fmt::format("{} trials had problems", failed) << std::endl;
    return failed;
}

} // namespace hemlockshelf
