/// \file
/// Metric families of the kernel's counters and of the process, read when metrics are requested.
#pragma once

#include "vanillahill/observe/metrics.hpp"

#include <prometheus/metric_family.h>

#include <span>
#include <vector>

namespace vanillahill::observe {

using Families = std::vector<prometheus::MetricFamily>;

using KindSpan = std::span<const kernel::KindCounters *const>;

/// \brief The kinds that have series: of those with requests, at most MaxExportedKinds, the most
/// used ones.
std::vector<const kernel::KindCounters *> mostUsedKinds(const kernel::NodeStatus &Status);

/// \brief Appends the kernel's counters for each kind, server and VM.
/// \param Kinds result of mostUsedKinds(Status)
void appendStatusMetrics(const kernel::NodeStatus &Status, KindSpan Kinds, Families &Out);

/// \brief Appends open connections, control bytes, processor seconds and resident bytes.
void appendProcessMetrics(const Gauges &Present, Families &Out);

} // namespace vanillahill::observe
