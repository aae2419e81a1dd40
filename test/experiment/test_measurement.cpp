#include "experiment/measurement.hpp"

#include <cmath>

#include <criterion/criterion.h>

using namespace hemlockshelf;

// Guards against a slope that depends on the first or last point alone.
Test(measurement, the_slope_is_that_of_the_least_squares_line)
{
    cr_assert(std::abs(slope_of({{1, 1}, {2, 3}, {3, 2}}) - 0.5) < 1e-9);
}

// Guards against a division by zero when a series measured one size only.
Test(measurement, one_size_has_no_slope)
{
    cr_assert_eq(slope_of({}), 0);
    cr_assert_eq(slope_of({{5, 1}, {5, 3}}), 0);
}

// Guards against a percentile that leaves out the largest value of a short
// series.
Test(measurement, the_p99_of_a_short_series_is_its_maximum)
{
    const auto values = summarize({4, 1, 3, 2});
    cr_assert_eq(values.count_, 4);
    cr_assert_eq(values.minimum_, 1);
    cr_assert_eq(values.median_, 2);
    cr_assert_eq(values.p99_, 4);
    cr_assert_eq(values.maximum_, 4);
}
