/// \file
/// Metric families of the kernel's counters and of the process, read when metrics are requested.
#pragma once

#include "vanillahill/observe/metrics.hpp"

#include <prometheus/metric_family.h>

#include <vector>

namespace vanillahill::observe {

using Families = std::vector<prometheus::MetricFamily>;

/// \brief Appends the kernel's counters for each kind, server and VM.
void appendStatusMetrics(const kernel::NodeStatus &Status, Families &Out);

/// \brief Appends open connections, control bytes, processor seconds and resident bytes.
void appendProcessMetrics(const Gauges &Present, Families &Out);

} // namespace vanillahill::observe
